"""Allocates free TCP ports on the loopback interface."""

from __future__ import annotations

import random
import socket

from trefoilpulley_core.catalog import Endpoint

LOOPBACK = '127.0.0.1'
"""Address of all processes of a deployment on one machine."""

PORT_RANGE = range(12_000, 32_000)
"""Ports to allocate, below the port range of outgoing connections."""


class PortAllocator:
    """Allocates free ports, each one only once.

    Each port stays bound until `release`, so that no other process can
    bind the port in the meantime.
    """

    def __init__(self) -> None:
        self._rng = random.SystemRandom()
        self._reserved: list[socket.socket] = []

    def next(self) -> Endpoint:
        """Return an endpoint with a newly allocated port."""
        while True:
            endpoint = Endpoint(LOOPBACK, self._rng.choice(PORT_RANGE))
            if self._reserve(endpoint):
                return endpoint

    def release(self) -> None:
        """Unbind the ports so that the processes can bind them."""
        for sock in self._reserved:
            sock.close()
        self._reserved.clear()

    def _reserve(self, endpoint: Endpoint) -> bool:
        sock = socket.socket()
        try:
            sock.bind((endpoint.address, endpoint.port))
        except OSError:
            sock.close()
            return False
        self._reserved.append(sock)
        return True
