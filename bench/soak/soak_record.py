"""What was seen in one soak."""

import dataclasses

from bench.soak import node_life, soak_plan
from medlarquay import testing

__all__ = ('SoakRecord',)


@dataclasses.dataclass(slots=True, kw_only=True)
class SoakRecord:
    """What was seen in one soak.

    Attributes
    ----------
    plan : SoakPlan
        What was done.
    load : LoadPlan
        What callers sent.
    began_at : float
        Unix time of the start of the load.
    names_by_address : dict of str
        Instance by the address for its callers.
    lifetimes : list of NodeLife
        Lifetimes of all nodes.
    caller_entries : list of ToldEntry
        What callers were told.
    run_entries : list of RunEntry
        What backend servers ran.
    unready_reason : str
        What was wrong when nodes did not become ready at the end.
    stray_answers : int
        Answers that no request waited for.
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
        """Return the kind of a request."""
        return next(mix for mix in self.load.mixes if mix.name == entry.mix)

    def ingress_of(self, entry: testing.ToldEntry) -> str:
        """Return the instance whose node took the last attempt."""
        nodes = self.mix_of(entry).nodes
        number = int(entry.request.rpartition('-')[2])
        position = number + max(0, len(entry.outcomes) - 1)
        return self.names_by_address[nodes[position % len(nodes)]]

    def lifetimes_of(self, name: str) -> list[node_life.NodeLife]:
        """Return the lifetimes of a node."""
        return [life for life in self.lifetimes if life.name == name]
