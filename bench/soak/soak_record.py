"""Observations of one soak run."""

import dataclasses

from bench.soak import node_life, soak_plan
from medlarquay import testing

__all__ = ('SoakRecord',)


@dataclasses.dataclass(slots=True, kw_only=True)
class SoakRecord:
    """Observations of one soak run, the input of the checks.

    Attributes
    ----------
    plan : SoakPlan
        Faults that were injected.
    load : LoadPlan
        Load that callers sent.
    began_at : float
        Unix time of the start of the load.
    names_by_address : dict of str
        Name of the instance by its address for callers.
    lifetimes : list of NodeLife
        Lifetimes of all node processes.
    caller_entries : list of ToldEntry
        One entry for each request: the answers that its caller got.
    run_entries : list of RunEntry
        One entry for each run at a backend server.
    unready_reason : str
        Why nodes did not become ready at the end; empty if they did.
    stray_answers : int
        Number of answers that no request waited for.
    """

    plan: soak_plan.SoakPlan
    load: testing.LoadPlan
    began_at: float
    names_by_address: dict[str, str]
    lifetimes: list[node_life.NodeLife]
    caller_entries: list[testing.ToldEntry]
    run_entries: list[testing.RunEntry]
    unready_reason: str = ''
    stray_answers: int = 0

    def mix_of(self, entry: testing.ToldEntry) -> testing.LoadMix:
        """Return the load mix of a request."""
        return next(mix for mix in self.load.mixes if mix.name == entry.mix)

    def ingress_of(self, entry: testing.ToldEntry) -> str:
        """Return the name of the instance that the last attempt was sent to.

        A caller sends each attempt to the next address of the mix, starting
        from the number of the request.
        """
        nodes = self.mix_of(entry).nodes
        number = int(entry.request.rpartition('-')[2])
        index = number + max(0, len(entry.outcomes) - 1)
        return self.names_by_address[nodes[index % len(nodes)]]

    def lifetimes_of(self, name: str) -> list[node_life.NodeLife]:
        """Return the lifetimes of the processes of one node."""
        return [life for life in self.lifetimes if life.name == name]
