"""Free TCP ports on loopback."""

from __future__ import annotations

import socket

from trefoilpulley_core.catalog import Endpoint

LOOPBACK = '127.0.0.1'
"""Address of every process of a deployment on one machine."""


class PortAllocator:
    """Hands out free ports, none of them twice.

    A port stays bound until `release`, so that nobody else gets it in
    the meantime.
    """

    def __init__(self) -> None:
        self._held: list[socket.socket] = []

    def next(self) -> Endpoint:
        """Return an endpoint with a free port."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((LOOPBACK, 0))
        self._held.append(sock)
        return Endpoint(LOOPBACK, sock.getsockname()[1])

    def release(self) -> None:
        """Free the ports for the processes that will listen on them."""
        for sock in self._held:
            sock.close()
        self._held.clear()
