"""Services outside the process that the commands use."""

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


class ServiceFactory(abc.ABC):
    """Factory of clients for external services, replaceable in tests."""

    @abc.abstractmethod
    def open_platform(self, endpoint: Endpoint) -> Platform:
        """Return a client of the platform's key-value service."""

    @abc.abstractmethod
    def make_dialer(self, cfg: OperatorSettings) -> Dialer:
        """Return a dialer for entry hosts."""

    @abc.abstractmethod
    def make_timer(self) -> Timer:
        """Return a source of time."""

    @abc.abstractmethod
    def make_rng(self) -> random.Random:
        """Return the random source of identifiers and retry delays."""


class NetworkServiceFactory(ServiceFactory):
    """Real services, reached over the network."""

    def open_platform(self, endpoint: Endpoint) -> Platform:
        """Return a client that uses the JSON gateway of etcd."""
        url = f'http://{endpoint.address}:{endpoint.port}'
        return EtcdPlatform(EtcdGateway(url))

    def make_dialer(self, cfg: OperatorSettings) -> Dialer:
        """Return a dialer for WebSocket connections."""
        return WebSocketDialer(make_tls_context(cfg.tls))

    def make_timer(self) -> Timer:
        """Return the system clock."""
        return SystemTimer()

    def make_rng(self) -> random.Random:
        """Return the operating system's random source."""
        return random.SystemRandom()
