"""Parsing and formatting of addresses."""

import pytest

from medlarquay import addresses


@pytest.mark.parametrize('text', ['127.0.0.1:1', '[::1]:65535'])
def test_address_round_trips(text: str) -> None:
    """Guards against an IPv6 address that runs into its port when printed."""
    assert str(addresses.parse_address(text)) == text


@pytest.mark.parametrize(
    'text',
    [
        '',
        'localhost:1',
        '127.0.0.1',
        '127.0.0.1:0',
        '127.0.0.1:65536',
        '127.0.0.1:+1',
        '::1:80',
        ':80',
    ],
)
def test_malformed_address_is_rejected(text: str) -> None:
    """Guards against a node that starts with an unusable address."""
    with pytest.raises(ValueError, match='.'):
        addresses.parse_address(text)
