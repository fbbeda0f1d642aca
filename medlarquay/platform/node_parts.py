"""Parts of a node on the users' platform."""

from collections.abc import Callable

from twisted.internet import interfaces

from medlarquay import ids, ingress
from medlarquay.daemon import deployment, node_settings, stop_pace
from medlarquay.platform import (
    header_names,
    platform_settings,
    store_client,
    store_fetcher,
)
from medlarquay.tasks import local_backend, running_clock

__all__ = ('deployment_of', 'node_settings_of')

# No request carries an idempotency key here.
_KEY_RETENTION_S = 1
# Answers that were written need this long to leave before the kill.
_STOP_MARGIN_S = 0.5
# A backend server stops work at the time limit that it receives; its answer
# needs a moment more.
_HUNG_S = 0.5
# Readiness is asked once a second and counts after two misses.
_LINGER_S = 2.3
_FLUSH_S = 0.3


def node_settings_of(
    own: platform_settings.PlatformSettings,
) -> node_settings.NodeSettings:
    """Return the settings of the product's node."""
    return node_settings.NodeSettings(
        # The id of a backend server's run is known to the store only, so the
        # node is named after its machine.
        instance=ids.InstanceId(own.host),
        region=own.region,
        data_centre=own.data_centre,
        host=own.host,
        caller_port=own.callers.port,
        peer_port=own.peer_port,
        admin_port=own.admin_port,
        backend_host=own.backend.host,
        backend_port=own.backend.port,
        source_url=f'http://{own.store}',
        seed=(),
        key_retention_s=_KEY_RETENTION_S,
        drain_timeout_s=own.drain_timeout_s - _STOP_MARGIN_S,
        link_bytes_per_s=own.link_bytes_per_s,
        log_level='info',
    )


def deployment_of(
    own: platform_settings.PlatformSettings,
    *,
    reactor: interfaces.IReactorTCP,
    clock: Callable[[], float],
) -> deployment.Deployment:
    """Return what the product's node takes from the platform."""
    client = store_client.StoreClient(
        reactor=reactor,
        address=own.store,
        clock=clock,
        running=running_clock.RUNNING_CLOCK.seconds,
    )
    return deployment.Deployment(
        fetcher=store_fetcher.StoreFetcher(client=client, own=own),
        front=ingress.IngressSettings(
            names=header_names.HEADER_NAMES,
            service=own.service.encode(),
            sends_retry_after=True,
            fleet_burst=own.fleet_burst,
        ),
        local=local_backend.LocalBackend(
            names=header_names.HEADER_NAMES,
            hung_s=_HUNG_S,
            exclusive=True,
        ),
        readiness=own.readiness,
        pace=stop_pace.StopPace(linger_s=_LINGER_S, flush_s=_FLUSH_S),
    )
