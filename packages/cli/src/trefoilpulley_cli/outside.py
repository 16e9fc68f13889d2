"""What the commands reach outside of their process."""

from __future__ import annotations

import abc
import random
from typing import TYPE_CHECKING

from trefoilpulley_cli.settings import make_tls_context
from trefoilpulley_client.timer import SystemTimer
from trefoilpulley_client.websocket_transport import WebSocketDialer
from trefoilpulley_node.etcd_gateway import EtcdGateway
from trefoilpulley_node.etcd_platform import EtcdPlatform

if TYPE_CHECKING:
    from trefoilpulley_cli.settings import OperatorSettings
    from trefoilpulley_client.timer import Timer
    from trefoilpulley_client.transport import Dialer
    from trefoilpulley_core.catalog import Endpoint
    from trefoilpulley_core.platform import Platform


class Outside(abc.ABC):
    """Ways to the platform's service and the entry hosts."""

    @abc.abstractmethod
    def open_platform(self, endpoint: Endpoint) -> Platform:
        """Return a client of the platform's service."""

    @abc.abstractmethod
    def make_dialer(self, cfg: OperatorSettings) -> Dialer:
        """Return a dialer of entry hosts."""

    @abc.abstractmethod
    def make_timer(self) -> Timer:
        """Return a source of time."""

    @abc.abstractmethod
    def make_rng(self) -> random.Random:
        """Return a source of identifiers and of the pauses' spread."""


class Network(Outside):
    """The network that the process runs in."""

    def open_platform(self, endpoint: Endpoint) -> Platform:
        """Return a client over etcd's JSON gateway."""
        url = f'http://{endpoint.address}:{endpoint.port}'
        return EtcdPlatform(EtcdGateway(url))

    def make_dialer(self, cfg: OperatorSettings) -> Dialer:
        """Return a dialer of WebSocket connections."""
        return WebSocketDialer(make_tls_context(cfg.tls))

    def make_timer(self) -> Timer:
        """Return the system's time."""
        return SystemTimer()

    def make_rng(self) -> random.Random:
        """Return the system's source of randomness."""
        return random.SystemRandom()
