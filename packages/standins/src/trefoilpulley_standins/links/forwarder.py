"""Carries the TCP connections of one link."""

from __future__ import annotations

from contextlib import suppress
import random
import struct
import time
from typing import TYPE_CHECKING

import gevent
from gevent.queue import Queue
from gevent.server import StreamServer
from gevent import socket

from trefoilpulley_standins.links.quality import DeliverySchedule

if TYPE_CHECKING:
    from trefoilpulley_standins.links.network import Network
    from trefoilpulley_standins.links.quality import ZonePair
    from trefoilpulley_standins.links.settings import LinkSettings

CHUNK_BYTES = 65536
"""Bytes read at once."""

BUFFERED_CHUNKS = 64
"""Chunks under way in one direction of a connection."""


class Forwarder:
    """Listens for one link's callers and connects them to its target.

    Parameters
    ----------
    cfg : LinkSettings
        Link.
    network : Network
        Behaviour of the directions.
    seed : int
        Seed of jitter and loss.
    """

    def __init__(self, cfg: LinkSettings, network: Network, seed: int) -> None:
        self._pair = cfg.pair
        self._target = (cfg.target.address, cfg.target.port)
        self._network = network
        self._rng = random.Random(seed)
        self._open: set[socket.socket] = set()
        self._server = StreamServer(
            (cfg.listen.address, cfg.listen.port), self._accept
        )

    @property
    def port(self) -> int:
        """TCP port in use."""
        return self._server.server_port

    def start(self) -> None:
        """Begin to accept."""
        self._server.start()

    def stop(self) -> None:
        """Accept nothing more."""
        self._server.stop(timeout=0)

    def reset(self) -> None:
        """Break every connection; new ones work."""
        for sock in tuple(self._open):
            # Closing with this option sends a reset.
            linger = struct.pack('ii', 1, 0)
            with suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                sock.shutdown(socket.SHUT_RDWR)

    def _accept(self, sock: socket.socket, address: tuple) -> None:
        try:
            far = self._connect()
        except OSError:
            sock.close()
            return
        pipes = (
            _Pipe(sock, far, self._pair, self._network, self._rng),
            _Pipe(far, sock, self._pair.reversed, self._network, self._rng),
        )
        for conn in (sock, far):
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._open |= {sock, far}
        gevent.joinall([gevent.spawn(pipe.run) for pipe in pipes])
        self._open -= {sock, far}
        sock.close()
        far.close()

    def _connect(self) -> socket.socket:
        # Opening a connection takes a round trip of its own.
        for pair in (self._pair, self._pair.reversed):
            line = DeliverySchedule(self._rng)
            now = time.monotonic()
            gevent.sleep(
                line.arrival_at(self._network.quality(pair), now) - now
            )
            self._network.wait_until_healed(pair)
        return socket.create_connection(self._target)


class _Pipe:
    """One direction of one connection."""

    def __init__(
        self,
        source: socket.socket,
        target: socket.socket,
        pair: ZonePair,
        network: Network,
        rng: random.Random,
    ) -> None:
        self._source = source
        self._target = target
        self._pair = pair
        self._network = network
        self._line = DeliverySchedule(rng)
        self._under_way: Queue[tuple[float, bytes]] = Queue(BUFFERED_CHUNKS)

    def run(self) -> None:
        """Carry data until the sender ends."""
        sender = gevent.spawn(self._send)
        while True:
            data = self._receive()
            quality = self._network.quality(self._pair)
            arrival_at = self._line.arrival_at(quality, time.monotonic())
            self._under_way.put((arrival_at, data))
            if not data:
                break
        sender.join()

    def _receive(self) -> bytes:
        try:
            return self._source.recv(CHUNK_BYTES)
        except OSError:
            return b''

    def _send(self) -> None:
        while True:
            arrival_at, data = self._under_way.get()
            gevent.sleep(max(arrival_at - time.monotonic(), 0))
            self._network.wait_until_healed(self._pair)
            if not self._deliver(data):
                return

    def _deliver(self, data: bytes) -> bool:
        try:
            if data:
                self._target.sendall(data)
            else:
                self._target.shutdown(socket.SHUT_RDWR)
        except OSError:
            self._abandon()
            return False
        self._network.bytes_carried[self._pair] += len(data)
        return bool(data)

    def _abandon(self) -> None:
        try:
            self._source.shutdown(socket.SHUT_RDWR)
        except OSError:
            return
