"""All links of a deployment and the port for orders to them."""

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
    """Forwarders of all links.

    Parameters
    ----------
    cfg : LinksSettings
        Settings of the process.
    """

    def __init__(self, cfg: LinksSettings) -> None:
        self._network = Network(cfg.qualities)
        self._forwarders = [
            Forwarder(link, self._network, cfg.seed + number)
            for number, link in enumerate(cfg.links)
        ]
        self._converter = make_converter(forbid_extra_keys=True)
        self._control = WSGIServer(
            (cfg.control.address, cfg.control.port),
            self._answer,
            log=None,
            error_log=None,
        )

    @property
    def port(self) -> int:
        """Port for orders."""
        return self._control.server_port

    def start(self) -> None:
        """Open every port."""
        for forwarder in self._forwarders:
            forwarder.start()
        self._control.start()

    def stop(self) -> None:
        """Close every port."""
        self._control.stop(timeout=0)
        for forwarder in self._forwarders:
            forwarder.stop()

    def _answer(self, environ: dict[str, Any], start: Callable) -> list[bytes]:
        document = json.loads(environ['wsgi.input'].read() or b'{}')
        self._network.apply_order(
            self._converter.structure(document, LinkOrder)
        )
        start('200 OK', [('Content-Type', 'application/json')])
        return [json.dumps(self._carried()).encode()]

    def _carried(self) -> dict[str, int]:
        return {
            f'{pair.source}>{pair.target}': count
            for pair, count in self._network.bytes_carried.items()
        }
