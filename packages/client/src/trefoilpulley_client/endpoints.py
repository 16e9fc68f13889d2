"""Conversion of entry host addresses from and to text."""

from __future__ import annotations

from trefoilpulley_core.catalog import Endpoint

MAX_PORT = 65535
"""Highest TCP port number."""


def parse_endpoint(text: str) -> Endpoint:
    """Parse an address of the form ``IP:PORT`` or ``[IP]:PORT``.

    Raises
    ------
    ValueError
        If the text has another form or the port is out of range.
    """
    address, separator, port = text.rpartition(':')
    address = address.removeprefix('[').removesuffix(']')
    if not separator or not address or not port.isdecimal():
        raise ValueError(f'{text!r} does not have the form IP:PORT')
    if not 0 < int(port) <= MAX_PORT:
        raise ValueError(f'{text!r} has an invalid port')
    return Endpoint(address, int(port))


def format_endpoint(endpoint: Endpoint) -> str:
    """Return an endpoint as ``IP:PORT``, or ``[IP]:PORT`` for IPv6."""
    if ':' in endpoint.address:
        return f'[{endpoint.address}]:{endpoint.port}'
    return f'{endpoint.address}:{endpoint.port}'
