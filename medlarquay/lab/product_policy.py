"""The product's own decisions."""

import dataclasses

__all__ = ('ProductPolicy',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ProductPolicy:
    """The product's own choice of owners and admission."""

    name: str = 'product'
