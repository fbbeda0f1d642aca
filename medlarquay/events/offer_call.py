"""Offer of a large call by an ingress."""

import dataclasses

from medlarquay import ids, messages

__all__ = ('OfferCall',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OfferCall:
    """Offer of a large call by an ingress on another node.

    Attributes
    ----------
    link : ids.LinkId
        Link to answer on.
    offer : messages.CallOffered
        Offer.
    """

    link: ids.LinkId
    offer: messages.CallOffered
