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
    addresses : dict of str
        Instance by the address for its callers.
    lives : list of NodeLife
        Lifetimes of all nodes.
    told : list of ToldEntry
        What callers were told.
    ran : list of RunEntry
        What backend servers ran.
    unready : str
        What was wrong when nodes did not become ready at the end.
    stray : int
        Answers that no request waited for.
    """

    plan: soak_plan.SoakPlan
    load: testing.LoadPlan
    began_at: float
    addresses: dict[str, str]
    lives: list[node_life.NodeLife]
    told: list[testing.ToldEntry]
    ran: list[testing.RunEntry]
    unready: str = ''
    stray: int = 0

    def mix_of(self, entry: testing.ToldEntry) -> testing.LoadMix:
        """Return the kind of a request."""
        return next(mix for mix in self.load.mixes if mix.name == entry.mix)

    def ingress_of(self, entry: testing.ToldEntry) -> str:
        """Return the instance whose node took the last attempt."""
        nodes = self.mix_of(entry).nodes
        number = int(entry.request.rpartition('-')[2])
        position = number + max(0, len(entry.outcomes) - 1)
        return self.addresses[nodes[position % len(nodes)]]

    def lives_of(self, name: str) -> list[node_life.NodeLife]:
        """Return the lifetimes of a node."""
        return [life for life in self.lives if life.name == name]
