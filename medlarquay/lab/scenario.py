"""Servers, links and requests of one experiment."""

import dataclasses

from medlarquay.lab import demand, server

__all__ = ('Scenario',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Scenario:
    """Servers, links and requests of one experiment.

    Attributes
    ----------
    seconds : float
        Time in seconds for which requests arrive.
    data_centres_s, regions_s : float
        One-way delay between data centres and between regions, in seconds.
    servers : tuple of Server
        Backend servers; each has a node, which is its owner and an ingress.
    demands : tuple of Demand
        Kinds of requests, spread evenly over all ingresses.
    """

    seconds: float
    data_centres_s: float
    regions_s: float
    servers: tuple[server.Server, ...]
    demands: tuple[demand.Demand, ...]

    def delay(self, first: server.Server, second: server.Server) -> float:
        """Return the one-way delay between two nodes, in seconds."""
        if first.region != second.region:
            return self.regions_s
        if first.data_centre != second.data_centre:
            return self.data_centres_s
        return 0
