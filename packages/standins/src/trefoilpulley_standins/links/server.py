"""Links of a deployment with their control port."""

from __future__ import annotations

import json
from typing import Any
from typing import TYPE_CHECKING

from cattrs.preconf.json import make_converter
from gevent.pywsgi import WSGIServer

from trefoilpulley_standins.links.forwarder import Forwarder
from trefoilpulley_standins.links.network import Network
from trefoilpulley_standins.links.settings import LinkOrder

if TYPE_CHECKING:
    from collections.abc import Callable

    from trefoilpulley_standins.links.settings import LinksSettings


class LinksServer:
    """Runs a forwarder for each link, and the control port.

    Parameters
    ----------
    cfg : LinksSettings
        Settings of the links.
    """

    def __init__(self, cfg: LinksSettings) -> None:
        self._network = Network(cfg.qualities)
        self._forwarders = [
            Forwarder(link, self._network, cfg.seed + index)
            for index, link in enumerate(cfg.links)
        ]
        self._converter = make_converter(forbid_extra_keys=True)
        self._control_server = WSGIServer(
            (cfg.control.address, cfg.control.port),
            self._handle_order,
            log=None,
            error_log=None,
        )

    @property
    def port(self) -> int:
        """Control port."""
        return self._control_server.server_port

    def start(self) -> None:
        """Open the control port and the port of each link."""
        for forwarder in self._forwarders:
            forwarder.start()
        self._control_server.start()

    def stop(self) -> None:
        """Close the control port and the port of each link."""
        self._control_server.stop(timeout=0)
        for forwarder in self._forwarders:
            forwarder.stop()

    def _handle_order(
        self, environ: dict[str, Any], start: Callable
    ) -> list[bytes]:
        document = json.loads(environ['wsgi.input'].read() or b'{}')
        self._network.apply_order(
            self._converter.structure(document, LinkOrder)
        )
        start('200 OK', [('Content-Type', 'application/json')])
        return [json.dumps(self._forwarded_bytes()).encode()]

    def _forwarded_bytes(self) -> dict[str, int]:
        return {
            f'{pair.source}>{pair.target}': count
            for pair, count in self._network.bytes_forwarded.items()
        }
