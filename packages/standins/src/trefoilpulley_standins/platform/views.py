"""How each zone sees the addresses in the platform's catalogue."""

from __future__ import annotations

import json
from typing import Any
from typing import TYPE_CHECKING

from trefoilpulley_standins.platform.gateway import ValueView

if TYPE_CHECKING:
    from collections.abc import Mapping

CATALOG_PREFIX = b'/platform/'
"""Keys whose values hold addresses."""


class PlainView(ValueView):
    """Shows every value as it is stored."""

    def show(self, key: bytes, value: bytes) -> bytes:
        """Return the value."""
        return value


class RoutedView(ValueView):
    """Replaces ports by those of the links that lead to them.

    Parameters
    ----------
    routes : Mapping[int, int]
        Port of the link by stored port.
    """

    def __init__(self, routes: Mapping[int, int]) -> None:
        self._routes = routes

    def show(self, key: bytes, value: bytes) -> bytes:
        """Return the value with the ports of the links."""
        if not key.startswith(CATALOG_PREFIX):
            return value
        return json.dumps(self._replace(json.loads(value))).encode()

    def _replace(self, node: Any) -> Any:
        if isinstance(node, list):
            return [self._replace(child) for child in node]
        if not isinstance(node, dict):
            return node
        replaced = {k: self._replace(v) for k, v in node.items()}
        if 'port' in replaced:
            port = replaced['port']
            replaced['port'] = self._routes.get(port, port)
        return replaced
