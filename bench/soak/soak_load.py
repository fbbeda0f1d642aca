"""Load that callers send during a soak."""

import dataclasses

from bench.soak import topology
from medlarquay import testing

__all__ = (
    'BUNDLE',
    'LOOKUP',
    'LOOKUP_DEADLINE_MS',
    'build_load',
    'expected_bytes',
    'probe_version',
)

BUNDLE = 'bundle'
LOOKUP = 'lookup'
LOOKUP_DEADLINE_MS = 1000
_BUNDLE_BYTES = 90000
_BUNDLE_PATH = f'/bundle?bytes={_BUNDLE_BYTES}'
# Above the limit of 1 MiB on an answer, so that a node never receives it
# whole.
_ENDLESS_PATH = '/endless?bytes=3000000'
# Rate of the bundle answers, relative to the capacity of the links of the
# archive's machines.
_OVERLOAD_FACTOR = 2.5
_BUNDLES_PER_S = topology.LINK_MBPS * 1e6 / 8 / _BUNDLE_BYTES
_PROBE_PREFIX = 'probe-'


def build_load(
    *,
    seed: int,
    seconds: float,
    last_version: int,
    nodes: dict[str, str],
) -> testing.LoadPlan:
    """Build the load: large answers that overload links, and small calls.

    Parameters
    ----------
    seed : int
        Seed of the arrival times.
    seconds : float
        Length of the load.
    last_version : int
        Number of the last version of the document that is published; each
        version from 0 on is probed.
    nodes : dict of str
        Address for callers by name of the instance.
    """
    all_addresses = list(nodes.values())
    # An answer to a caller at a node of the archive does not cross the link
    # of its machine.
    remote_addresses = [
        address
        for name, address in nodes.items()
        if not name.startswith(topology.ARCHIVE)
    ]
    archive_count = len(all_addresses) - len(remote_addresses)
    bundle = testing.LoadMix(
        name=BUNDLE,
        nodes=remote_addresses,
        host=topology.host_of(topology.ARCHIVE),
        rate=_OVERLOAD_FACTOR * _BUNDLES_PER_S * archive_count,
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
        deadline_ms=LOOKUP_DEADLINE_MS,
        service_ms=5,
    )
    mixes = [bundle, lookup, *_small_mixes(all_addresses)]
    mixes.extend(
        testing.LoadMix(
            name=f'{_PROBE_PREFIX}{version}',
            nodes=all_addresses,
            host=f'version.{topology.TEAM}',
            rate=5,
            path=f'/v{version}',
        )
        for version in range(last_version + 1)
    )
    return testing.LoadPlan(seed=seed, seconds=seconds, mixes=mixes)


def _small_mixes(nodes: list[str]) -> list[testing.LoadMix]:
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
    """Return the body length in bytes of a complete answer to a mix."""
    if mix.name == BUNDLE:
        return _BUNDLE_BYTES
    return len(mix.path)


def probe_version(mix: str) -> int | None:
    """Return the version that a mix probes; None if it is no probe."""
    if mix.startswith(_PROBE_PREFIX):
        return int(mix.removeprefix(_PROBE_PREFIX))
    return None
