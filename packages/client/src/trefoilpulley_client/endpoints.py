"""Text form of the entry hosts' addresses."""

from __future__ import annotations

from trefoilpulley_core.catalog import Endpoint

PORT_MOST = 65535
"""Greatest TCP port."""


def parse_endpoint(text: str) -> Endpoint:
    """Return the endpoint of ``IP:PORT`` or ``[IP]:PORT``.

    Raises
    ------
    ValueError
        Where the text has another form.
    """
    address, separator, port = text.rpartition(':')
    address = address.removeprefix('[').removesuffix(']')
    if not separator or not address or not port.isdecimal():
        raise ValueError(f'{text!r} is not of the form IP:PORT')
    if not 0 < int(port) <= PORT_MOST:
        raise ValueError(f'{text!r} has no valid port')
    return Endpoint(address, int(port))


def format_endpoint(endpoint: Endpoint) -> str:
    """Return the text form of an endpoint."""
    if ':' in endpoint.address:
        return f'[{endpoint.address}]:{endpoint.port}'
    return f'{endpoint.address}:{endpoint.port}'
