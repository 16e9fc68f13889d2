"""Control of the platform service and the links, and host state queries."""

from __future__ import annotations

from base64 import b64decode
from base64 import b64encode
from dataclasses import replace
from typing import Any
from typing import TYPE_CHECKING

import requests

from trefoilpulley_client.websocket_transport import WebSocketDialer
from trefoilpulley_core.caller import GetState
from trefoilpulley_core.configuration.document import decode_configuration
from trefoilpulley_core.configuration.document import encode_configuration
from trefoilpulley_core.configuration.document import encode_databases
from trefoilpulley_core.configuration.document import encode_hosts
from trefoilpulley_core.declarations import Configuration
from trefoilpulley_core.keys import CATALOG_DATABASES_KEY
from trefoilpulley_core.keys import CATALOG_HOSTS_KEY
from trefoilpulley_core.keys import CONFIGURATION_KEY

if TYPE_CHECKING:
    from trefoilpulley_core.catalog import DatabaseEntry
    from trefoilpulley_core.catalog import Endpoint
    from trefoilpulley_core.catalog import HostEntry
    from trefoilpulley_core.declarations import PlannedStop
    from trefoilpulley_standins.layout import Layout

CALL_TIMEOUT_S = 2.0
"""Timeout of a control call, in seconds."""


class ControlClient:
    """Client of the control interfaces of a running deployment.

    Parameters
    ----------
    layout : Layout
        Layout of the running deployment.
    """

    def __init__(self, layout: Layout) -> None:
        self._layout = layout
        self._platform = _make_url(layout.platform_control)
        self._links = _make_url(layout.links.control)
        self._dialer = WebSocketDialer()

    def cut_zone(self, zone: str) -> None:
        """Partition a zone from the other zones and from the service."""
        others = [z for z in self._layout.deployment.zones if z != zone]
        cuts = [{'source': zone, 'target': z} for z in others]
        cuts.extend({'source': z, 'target': zone} for z in others)
        _post(f'{self._links}/control', {'cuts': cuts})
        _post(f'{self._platform}/control', {'cut_zones': [zone]})

    def heal(self) -> None:
        """Remove all partitions."""
        _post(f'{self._links}/control', {'cuts': []})
        _post(f'{self._platform}/control', {'cut_zones': []})

    def set_service_down(self, is_down: bool) -> None:
        """Take the platform service down or bring it up."""
        _post(f'{self._platform}/control', {'is_down': is_down})

    def write_hosts(self, hosts: tuple[HostEntry, ...]) -> None:
        """Write the platform's catalog of hosts."""
        self._put(CATALOG_HOSTS_KEY, encode_hosts(hosts))

    def write_databases(self, databases: tuple[DatabaseEntry, ...]) -> None:
        """Write the platform's catalog of database groups."""
        self._put(CATALOG_DATABASES_KEY, encode_databases(databases))

    def declare_stops(self, stops: tuple[PlannedStop, ...]) -> int:
        """Publish declarations with these planned stops as a new revision.

        Returns
        -------
        int
            Revision of the new configuration.
        """
        found = decode_configuration(self._get(CONFIGURATION_KEY)).unwrap()
        revision = found.revision + 1
        changed = Configuration(
            revision,
            f'demo-{revision}',
            replace(found.declarations, stops=stops),
        )
        self._put(CONFIGURATION_KEY, encode_configuration(changed))
        return revision

    def calls_by_kind(self) -> dict[str, int]:
        """Return the number of calls to the service by kind and by zone."""
        return _post(f'{self._platform}/control', {})['calls']

    def revision_of(self, endpoint: Endpoint) -> int:
        """Return the revision in force on a host; 0 if the host is silent."""
        state = self.state_of(endpoint)
        applied = state.get('configuration', {})
        return applied.get('configuration_revision', 0)

    def state_of(self, endpoint: Endpoint) -> dict[str, Any]:
        """Return the state dump of a host; empty if the host is silent."""
        dialed = self._dialer.dial(endpoint, CALL_TIMEOUT_S).value_or(None)
        if dialed is None:
            return {}
        secret = self._layout.hosts[0].operator_secret
        reply = dialed.call(GetState(secret), CALL_TIMEOUT_S).value_or(None)
        dialed.close()
        return getattr(reply, 'state', {})

    def _get(self, key: str) -> bytes:
        body = {'key': _encode_base64(key.encode())}
        answer = _post(f'{self._platform}/v3/kv/range', body)
        return b64decode(answer['kvs'][0]['value'])

    def _put(self, key: str, value: bytes) -> None:
        body = {
            'key': _encode_base64(key.encode()),
            'value': _encode_base64(value),
        }
        _post(f'{self._platform}/v3/kv/put', body)


def _make_url(endpoint: Endpoint) -> str:
    return f'http://{endpoint.address}:{endpoint.port}'


def _encode_base64(data: bytes) -> str:
    return b64encode(data).decode()


def _post(url: str, document: Any) -> Any:
    resp = requests.post(url, json=document, timeout=CALL_TIMEOUT_S)
    resp.raise_for_status()
    return resp.json()
