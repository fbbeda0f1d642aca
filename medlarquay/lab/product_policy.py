"""Policy with the decision code of the product."""

import dataclasses

__all__ = ('ProductPolicy',)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ProductPolicy:
    """Choice of owners and admission by the code of the product."""

    name: str = 'product'
