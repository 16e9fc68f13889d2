"""Checks of fields in entries that any writer may have set."""

from __future__ import annotations

import ipaddress
import re
from typing import Any
from typing import TYPE_CHECKING

from trefoilpulley_core.catalog import Endpoint

if TYPE_CHECKING:
    from collections.abc import Mapping

DECODE_ERRORS = (
    ArithmeticError,
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
)
"""Exceptions of a decoder for a value that it can't decode."""

MAX_COUNT = 2**63 - 1
"""Greatest value of a number that counts or orders entries.

A greater one would make every later entry older.
"""

_MAX_PORT = 65535
_MAX_NAME_LENGTH = 253
_PORT = re.compile('[0-9]{1,5}')
_HOST_LABEL = re.compile('[A-Za-z0-9_]([A-Za-z0-9_-]{0,61}[A-Za-z0-9_])?')


def read_text(fields: Mapping[str, Any], name: str) -> str:
    """Return a field that must be a non-empty string.

    Raises
    ------
    KeyError, TypeError
        If the field is missing, or something else.
    """
    value = fields[name]
    if not isinstance(value, str) or not value:
        raise TypeError(f'{name} is not a non-empty string')
    return value


def read_word(fields: Mapping[str, Any], name: str) -> str:
    """Return a field that is sent as one word of a line.

    Raises
    ------
    KeyError, TypeError, ValueError
        If the field is missing, or something else.
    """
    return check_word(read_text(fields, name))


def check_word(text: str) -> str:
    """Return a text that can be sent as one word of a line.

    Raises
    ------
    ValueError
        If the text is empty, or has blanks or control characters.
    """
    if not is_word(text):
        raise ValueError('not one word')
    return text


def is_word(text: str) -> bool:
    """Return whether a text can be sent as one word of a line."""
    is_plain = text.isascii() and text.isprintable() and ' ' not in text
    return bool(text) and is_plain


def read_count(fields: Mapping[str, Any], name: str) -> int:
    """Return a field that counts or orders entries.

    Raises
    ------
    KeyError, TypeError, ValueError
        If the field is missing, no integer or out of range.
    """
    value = fields[name]
    if type(value) is not int:
        raise TypeError(f'{name} is not an integer')
    if not 0 <= value <= MAX_COUNT:
        raise ValueError(f'{name} is out of range')
    return value


def parse_endpoint(text: str) -> Endpoint:
    """Return the endpoint in a text ``ADDRESS:PORT``.

    Raises
    ------
    TypeError, ValueError
        If the text is something else.
    """
    address, _, port = text.rpartition(':')
    if not _PORT.fullmatch(port):
        raise ValueError('port is not a number')
    return make_endpoint(address, int(port))


def make_endpoint(address: Any, port: Any) -> Endpoint:
    """Return an endpoint that a connection can be opened to.

    Raises
    ------
    TypeError, ValueError
        If the address or the port is something else.
    """
    if not isinstance(address, str) or type(port) is not int:
        raise TypeError('endpoint is not a string and an integer')
    if not 0 < port <= _MAX_PORT:
        raise ValueError('port is out of range')
    if not _is_host_name(address):
        ipaddress.ip_address(address)
    return Endpoint(address, port)


def _is_host_name(text: str) -> bool:
    return len(text) <= _MAX_NAME_LENGTH and all(
        _HOST_LABEL.fullmatch(label) for label in text.split('.')
    )
