"""Conversion of the catalog's addresses for the callers of a zone."""

from __future__ import annotations

import json
from typing import Any
from typing import TYPE_CHECKING

from trefoilpulley_standins.platform.gateway import ValueView

if TYPE_CHECKING:
    from collections.abc import Mapping

CATALOG_PREFIX = b'/platform/'
"""Prefix of the keys whose values contain addresses."""


class PlainView(ValueView):
    """View that returns each value unchanged."""

    def show(self, key: bytes, value: bytes) -> bytes:
        """Return the value unchanged."""
        return value


class RoutedView(ValueView):
    """View that replaces each port by the port of the link to it.

    Parameters
    ----------
    routes : Mapping[int, int]
        Port of the link for each stored port.
    """

    def __init__(self, routes: Mapping[int, int]) -> None:
        self._routes = routes

    def show(self, key: bytes, value: bytes) -> bytes:
        """Return the value with each port replaced by the link's port."""
        if not key.startswith(CATALOG_PREFIX):
            return value
        return json.dumps(self._replace_ports(json.loads(value))).encode()

    def _replace_ports(self, node: Any) -> Any:
        if isinstance(node, list):
            return [self._replace_ports(child) for child in node]
        if not isinstance(node, dict):
            return node
        replaced = {k: self._replace_ports(v) for k, v in node.items()}
        if 'port' in replaced:
            port = replaced['port']
            replaced['port'] = self._routes.get(port, port)
        return replaced
