"""Idempotency keys and their homes.

The home of a key is the node whose ledger records the requests with that key.
"""

from medlarquay.keys.bound_key import BoundKey
from medlarquay.keys.home import home_of
from medlarquay.keys.parse import MAX_KEY_CHARACTERS, issue_key, parse_key
from medlarquay.keys.plain_key import PlainKey

__all__ = (
    'MAX_KEY_CHARACTERS',
    'BoundKey',
    'PlainKey',
    'home_of',
    'issue_key',
    'parse_key',
)
