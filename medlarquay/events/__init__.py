"""Messages that the tasks of one node exchange."""

from medlarquay.events.abort_request import AbortRequest
from medlarquay.events.answer_ready import AnswerReady
from medlarquay.events.backend_answered import BackendAnswered
from medlarquay.events.backend_changed import BackendChanged
from medlarquay.events.backend_crashed import BackendCrashed
from medlarquay.events.backend_failed import BackendFailed
from medlarquay.events.broadcast_reply import BroadcastReply
from medlarquay.events.bytes_sent import BytesSent
from medlarquay.events.call_expired import CallExpired
from medlarquay.events.caller_gone import CallerGone
from medlarquay.events.cancel_call import CancelCall
from medlarquay.events.children_changed import ChildrenChanged
from medlarquay.events.delta_ready import DeltaReady
from medlarquay.events.delta_requested import DeltaRequested
from medlarquay.events.documents_read import DocumentsRead
from medlarquay.events.drain_requested import DrainRequested
from medlarquay.events.fragment_written import FragmentWritten
from medlarquay.events.frame_dropped import FrameDropped
from medlarquay.events.freshness_confirmed import FreshnessConfirmed
from medlarquay.events.freshness_received import FreshnessReceived
from medlarquay.events.heartbeat_due import HeartbeatDue
from medlarquay.events.lifecycle_changed import LifecycleChanged
from medlarquay.events.link_closed import LinkClosed
from medlarquay.events.local_backend_kept import LocalBackendKept
from medlarquay.events.local_backend_removed import LocalBackendRemoved
from medlarquay.events.offer_call import OfferCall
from medlarquay.events.open_link import OpenLink
from medlarquay.events.parent_aged import ParentAged
from medlarquay.events.parent_answered import ParentAnswered
from medlarquay.events.parent_chosen import ParentChosen
from medlarquay.events.parent_lost import ParentLost
from medlarquay.events.peer_greeted import PeerGreeted
from medlarquay.events.peer_heard import PeerHeard
from medlarquay.events.peer_lost import PeerLost
from medlarquay.events.peer_silent import PeerSilent
from medlarquay.events.peer_version import PeerVersion
from medlarquay.events.peers_discovered import PeersDiscovered
from medlarquay.events.queue_frame import QueueFrame
from medlarquay.events.reading_chosen import ReadingChosen
from medlarquay.events.records_received import RecordsReceived
from medlarquay.events.rejections_changed import RejectionsChanged
from medlarquay.events.reload_requested import ReloadRequested
from medlarquay.events.replica_changed import ReplicaChanged
from medlarquay.events.request_received import RequestReceived
from medlarquay.events.request_rejected import RequestRejected
from medlarquay.events.run_call import RunCall
from medlarquay.events.send_call import SendCall
from medlarquay.events.send_cancel import SendCancel
from medlarquay.events.send_grant import SendGrant
from medlarquay.events.send_notice import SendNotice
from medlarquay.events.send_reply import SendReply
from medlarquay.events.snapshot_replaced import SnapshotReplaced
from medlarquay.events.socket_drained import SocketDrained
from medlarquay.events.source_changed import SourceChanged
from medlarquay.events.start_request import StartRequest
from medlarquay.events.tick import Tick
from medlarquay.events.uplink_changed import UplinkChanged
from medlarquay.events.withdraw_frame import WithdrawFrame
from medlarquay.events.work_finished import WorkFinished
from medlarquay.events.write_fragment import WriteFragment

__all__ = (
    'FrameDropped',
    'SocketDrained',
    'FragmentWritten',
    'WriteFragment',
    'BytesSent',
    'WithdrawFrame',
    'PeersDiscovered',
    'QueueFrame',
    'PeerHeard',
    'PeerLost',
    'PeerSilent',
    'PeerGreeted',
    'LocalBackendKept',
    'LocalBackendRemoved',
    'OfferCall',
    'OpenLink',
    'CallExpired',
    'RecordsReceived',
    'FreshnessReceived',
    'PeerVersion',
    'SourceChanged',
    'RejectionsChanged',
    'ReloadRequested',
    'ReplicaChanged',
    'DeltaRequested',
    'DeltaReady',
    'HeartbeatDue',
    'ParentChosen',
    'ParentAged',
    'ParentAnswered',
    'ParentLost',
    'ReadingChosen',
    'ChildrenChanged',
    'WorkFinished',
    'FreshnessConfirmed',
    'BroadcastReply',
    'SendGrant',
    'SendNotice',
    'AbortRequest',
    'AnswerReady',
    'BackendAnswered',
    'BackendChanged',
    'BackendCrashed',
    'BackendFailed',
    'CallerGone',
    'CancelCall',
    'DocumentsRead',
    'DrainRequested',
    'LifecycleChanged',
    'LinkClosed',
    'RequestReceived',
    'RequestRejected',
    'RunCall',
    'SendCall',
    'SendCancel',
    'SendReply',
    'SnapshotReplaced',
    'StartRequest',
    'Tick',
    'UplinkChanged',
)
