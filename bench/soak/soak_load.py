"""Load of the soak."""

import dataclasses

from bench.soak import topology
from medlarquay import testing

__all__ = (
    'BUNDLE',
    'LOOKUP',
    'LOOKUP_MS',
    'build_load',
    'expected_bytes',
    'probe_version',
)

BUNDLE = 'bundle'
LOOKUP = 'lookup'
LOOKUP_MS = 1000
_BUNDLE_BYTES = 90000
_BUNDLE_PATH = f'/bundle?bytes={_BUNDLE_BYTES}'
# Over the limit of 1 MiB, so that its answer has no end for a node.
_ENDLESS_PATH = '/endless?bytes=3000000'
# Of what the links of the archive's machines carry.
_SATURATION = 2.5
_BUNDLES_PER_S = topology.LINK_MBPS * 1e6 / 8 / _BUNDLE_BYTES
_PROBE = 'probe-'


def build_load(
    *,
    seed: int,
    seconds: float,
    last_version: int,
    nodes: dict[str, str],
) -> testing.LoadPlan:
    """Return the load: large answers that fill links beside small calls.

    Parameters
    ----------
    seed : int
        Seed of the arrivals.
    seconds : float
        Length.
    last_version : int
        Last version that is published.
    nodes : dict of str
        Caller address by instance.
    """
    everywhere = list(nodes.values())
    # Answers to callers beside the archive itself do not use its link.
    elsewhere = [
        address
        for name, address in nodes.items()
        if not name.startswith(topology.ARCHIVE)
    ]
    owners = len(everywhere) - len(elsewhere)
    bundle = testing.LoadMix(
        name=BUNDLE,
        nodes=elsewhere,
        host=topology.host_of(topology.ARCHIVE),
        rate=_SATURATION * _BUNDLES_PER_S * owners,
        path=_BUNDLE_PATH,
        rank='bulk',
        deadline_ms=8000,
        service_ms=100,
    )
    lookup = dataclasses.replace(
        bundle,
        name=LOOKUP,
        rate=10,
        path=topology.LOOKUP_PATH,
        rank='urgent',
        deadline_ms=LOOKUP_MS,
        service_ms=5,
    )
    mixes = [bundle, lookup, *_small(everywhere)]
    mixes.extend(
        testing.LoadMix(
            name=f'{_PROBE}{version}',
            nodes=everywhere,
            host=f'version.{topology.TEAM}',
            rate=5,
            path=f'/v{version}',
        )
        for version in range(last_version + 1)
    )
    return testing.LoadPlan(seed=seed, seconds=seconds, mixes=mixes)


def _small(nodes: list[str]) -> list[testing.LoadMix]:
    read = testing.LoadMix(
        name='read',
        nodes=nodes,
        host=topology.host_of(topology.PORTAL),
        rate=20,
        path='/read',
        service_ms=30,
    )
    note = dataclasses.replace(
        read,
        name='note',
        host=topology.host_of(topology.DESK),
        method='POST',
        path='/note',
        service_ms=60,
    )
    approve = dataclasses.replace(
        note,
        name='approve',
        path='/approve',
        rank='urgent',
        keyed=True,
        resends=2,
    )
    endless = dataclasses.replace(
        read,
        name='endless',
        rate=0.5,
        path=_ENDLESS_PATH,
    )
    return [read, note, approve, endless]


def expected_bytes(mix: testing.LoadMix) -> int:
    """Return the length of the whole answer to a request of a mix."""
    if mix.name == BUNDLE:
        return _BUNDLE_BYTES
    return len(mix.path)


def probe_version(mix: str) -> int | None:
    """Return the version that a request of a mix asks for."""
    if mix.startswith(_PROBE):
        return int(mix.removeprefix(_PROBE))
    return None
