"""TCP forwarder of one simulated link."""

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

READ_CHUNK_BYTES = 65536
"""Greatest number of bytes in one read."""

MAX_QUEUED_CHUNKS = 64
"""Chunks queued in one direction of a connection.

A full queue stops the reads, which gives the sender backpressure.
"""


class Forwarder:
    """Accepts the connections of one link and forwards them to its target.

    Parameters
    ----------
    cfg : LinkSettings
        Link.
    network : Network
        Delays and cuts of each direction.
    seed : int
        Seed of the random jitter and loss.
    """

    def __init__(self, cfg: LinkSettings, network: Network, seed: int) -> None:
        self._pair = cfg.pair
        self._target = (cfg.target.address, cfg.target.port)
        self._network = network
        self._rng = random.Random(seed)
        self._open_sockets: set[socket.socket] = set()
        self._server = StreamServer(
            (cfg.listen.address, cfg.listen.port), self._handle_connection
        )

    @property
    def port(self) -> int:
        """TCP port in use."""
        return self._server.server_port

    def start(self) -> None:
        """Start accepting connections."""
        self._server.start()

    def stop(self) -> None:
        """Stop accepting connections."""
        self._server.stop(timeout=0)

    def reset(self) -> None:
        """Reset every open connection; new connections are accepted."""
        for sock in tuple(self._open_sockets):
            # With this linger option, closing the socket sends a TCP reset.
            linger = struct.pack('ii', 1, 0)
            with suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                sock.shutdown(socket.SHUT_RDWR)

    def _handle_connection(self, sock: socket.socket, address: tuple) -> None:
        try:
            target_sock = self._connect()
        except OSError:
            sock.close()
            return
        pipes = (
            _Pipe(sock, target_sock, self._pair, self._network, self._rng),
            _Pipe(
                target_sock,
                sock,
                self._pair.reversed,
                self._network,
                self._rng,
            ),
        )
        for conn in (sock, target_sock):
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._open_sockets |= {sock, target_sock}
        gevent.joinall([gevent.spawn(pipe.run) for pipe in pipes])
        self._open_sockets -= {sock, target_sock}
        sock.close()
        target_sock.close()

    def _connect(self) -> socket.socket:
        # The TCP handshake takes one round trip.
        for pair in (self._pair, self._pair.reversed):
            schedule = DeliverySchedule(self._rng)
            now = time.monotonic()
            gevent.sleep(
                schedule.arrival_at(self._network.quality(pair), now) - now
            )
            self._network.wait_until_healed(pair)
        return socket.create_connection(self._target)


class _Pipe:
    """Forwards the data of one direction of a connection."""

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
        self._schedule = DeliverySchedule(rng)
        self._in_transit: Queue[tuple[float, bytes]] = Queue(MAX_QUEUED_CHUNKS)

    def run(self) -> None:
        """Forward data until the source closes its side."""
        sender = gevent.spawn(self._send)
        while True:
            data = self._receive()
            quality = self._network.quality(self._pair)
            arrival_at = self._schedule.arrival_at(quality, time.monotonic())
            self._in_transit.put((arrival_at, data))
            if not data:
                break
        sender.join()

    def _receive(self) -> bytes:
        try:
            return self._source.recv(READ_CHUNK_BYTES)
        except OSError:
            return b''

    def _send(self) -> None:
        while True:
            arrival_at, data = self._in_transit.get()
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
            self._close_source()
            return False
        self._network.bytes_forwarded[self._pair] += len(data)
        return bool(data)

    def _close_source(self) -> None:
        try:
            self._source.shutdown(socket.SHUT_RDWR)
        except OSError:
            return
