"""Settings and deployment of a node on the users' platform."""

from collections.abc import Callable

from twisted.internet import interfaces

from medlarquay import ids, ingress
from medlarquay.daemon import deployment, node_settings, stop_timing
from medlarquay.platform import (
    header_names,
    platform_settings,
    store_client,
    store_fetcher,
)
from medlarquay.tasks import local_backend, running_clock

__all__ = ('build_deployment', 'build_node_settings')

# No request on this platform carries an idempotency key.
_KEY_RETENTION_S = 1
# Answers that were written need this time to leave before SIGKILL.
_STOP_MARGIN_S = 0.5
# The bound counts arrivals at the backend server; a request is sent before.
_LEAVING_MARGIN_S = 0.1
# A backend server stops work at the time limit that it receives; its answer
# needs a little longer.
_HUNG_MARGIN_S = 0.5
# Readiness is probed once a second; a node counts as not ready after two
# failed probes.
_LINGER_S = 2.3
_FLUSH_S = 0.3


def build_node_settings(
    own_settings: platform_settings.PlatformSettings,
) -> node_settings.NodeSettings:
    """Build the settings of a node from the platform's settings."""
    return node_settings.NodeSettings(
        # Only the store knows the id of a backend server's run, so the node
        # is named after its machine.
        instance=ids.InstanceId(own_settings.host),
        region=own_settings.region,
        data_centre=own_settings.data_centre,
        host=own_settings.host,
        caller_port=own_settings.callers.port,
        peer_port=own_settings.peer_port,
        admin_port=own_settings.admin_port,
        backend_host=own_settings.backend.host,
        backend_port=own_settings.backend.port,
        source_url=f'http://{own_settings.store}',
        seed=(),
        key_retention_s=_KEY_RETENTION_S,
        drain_timeout_s=max(0, own_settings.drain_timeout_s - _STOP_MARGIN_S),
        leaving_s=max(0, own_settings.leaving_s - _LEAVING_MARGIN_S),
        link_bytes_per_s=own_settings.link_bytes_per_s,
        log_level='info',
    )


def build_deployment(
    own_settings: platform_settings.PlatformSettings,
    *,
    reactor: interfaces.IReactorTCP,
    clock: Callable[[], float],
) -> deployment.Deployment:
    """Build the parts of a node that are specific to the platform."""
    client = store_client.StoreClient(
        reactor=reactor,
        address=own_settings.store,
        clock=clock,
        running_clock=running_clock.RUNNING_CLOCK.seconds,
    )
    fetcher = store_fetcher.StoreFetcher(
        client=client, own_settings=own_settings
    )
    return deployment.Deployment(
        fetcher=fetcher,
        discovery=fetcher,
        listing=fetcher,
        ingress_settings=ingress.IngressSettings(
            names=header_names.HEADER_NAMES,
            service=own_settings.service.encode(),
            sends_retry_after=True,
            fleet_burst=own_settings.fleet_burst,
        ),
        local=local_backend.LocalBackend(
            names=header_names.HEADER_NAMES,
            hung_s=_HUNG_MARGIN_S,
            exclusive=True,
        ),
        readiness=own_settings.readiness,
        stop_times=stop_timing.StopTiming(linger_s=_LINGER_S, flush_s=_FLUSH_S),
    )
