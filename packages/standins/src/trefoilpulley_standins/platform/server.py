"""HTTP ports of the simulated key-value service."""

from __future__ import annotations

from collections import Counter
import errno
import json
import time
from typing import Any
from typing import TYPE_CHECKING

from cattrs.preconf.json import make_converter
import gevent
from gevent.event import Event
from gevent.pool import Pool
from gevent.pywsgi import WSGIServer
from gevent.queue import Queue
from gevent import socket
from returns.pipeline import is_successful

from trefoilpulley_core.platform import LeaseExpired
from trefoilpulley_standins.platform.faults import Faults
from trefoilpulley_standins.platform.faults import Order
from trefoilpulley_standins.platform.gateway import decode_range
from trefoilpulley_standins.platform.gateway import Gateway
from trefoilpulley_standins.platform.gateway import written_keys
from trefoilpulley_standins.platform.store import KeyRange
from trefoilpulley_standins.platform.store import KeyValueStore
from trefoilpulley_standins.platform.store import Put
from trefoilpulley_standins.platform.views import PlainView
from trefoilpulley_standins.platform.views import RoutedView

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Iterator

    from trefoilpulley_core.catalog import Endpoint
    from trefoilpulley_core.failure import Failure
    from trefoilpulley_standins.platform.settings import PlatformSettings
    from trefoilpulley_standins.platform.store import Change

EXPIRY_INTERVAL_S = 0.05
"""Time between two checks for expired leases, in seconds."""

_WRITE_PATHS = ('kv/put', 'kv/txn', 'kv/deleterange')
_KIND_BY_PATH = {
    'kv/range': 'reads',
    'kv/put': 'writes',
    'kv/txn': 'writes',
    'kv/deleterange': 'writes',
    'watch': 'watches',
}
_NOT_FOUND = ('404 Not Found', 5)
_INVALID = ('400 Bad Request', 3)
_JSON = [('Content-Type', 'application/json')]


class AnswerLostError(ConnectionResetError):
    """Closes the connection instead of sending a response."""

    def __init__(self) -> None:
        super().__init__(errno.ECONNRESET, 'response is lost')


class _HttpServer(WSGIServer):
    def handle(self, sock: socket.socket, address: tuple) -> None:
        # The server writes header and body separately. Without this option,
        # Nagle's algorithm would hold the body back until the client's
        # delayed acknowledgement of the header.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle(sock, address)


class PlatformService:
    """Key-value service with a port for each zone and a control port.

    Parameters
    ----------
    control : Endpoint
        Address for fault orders and for API calls from outside the zones.
    cfg : PlatformSettings
        Initial values and zones.
    """

    def __init__(self, control: Endpoint, cfg: PlatformSettings) -> None:
        self.store = KeyValueStore()
        """Keys, leases and watches of the service."""

        self.faults = Faults()
        """Injected faults that are in effect."""

        self.calls: Counter[str] = Counter()
        """Number of calls by kind, and by zone and kind."""

        self.healed = Event()
        """Set while no zone is cut off from the service."""

        self.healed.set()
        for seed in cfg.values:
            put = Put(seed.key.encode(), seed.value.encode())
            self.store.execute((), (put,))
        self._converter = make_converter(forbid_extra_keys=True)
        plain = Gateway(self.store, PlainView())
        self._control_port = ServicePort(self, '', control, plain)
        self._zone_ports = []
        for zone in cfg.zones:
            view = RoutedView({r.port: r.via for r in zone.routes})
            gateway = Gateway(self.store, view)
            port = ServicePort(self, zone.zone, zone.listen, gateway)
            self._zone_ports.append(port)

    @property
    def port(self) -> int:
        """Control port."""
        return self._control_port.port

    def start(self) -> None:
        """Open every port."""
        self._control_port.open()
        for port in self._zone_ports:
            port.open()
        gevent.spawn(self._expire)

    def stop(self) -> None:
        """Close every port."""
        self._control_port.close()
        for port in self._zone_ports:
            port.close()

    def order(self, document: Any) -> None:
        """Apply the JSON document of a fault order."""
        order = self._converter.structure(document, Order)
        self.faults.apply_order(order)
        if order.lapse_key is not None:
            self._revoke_lease_of(order.lapse_key.encode())
        if order.cut_zones is not None:
            self._update_cuts(order.cut_zones)
        for port in self._zone_ports if order.is_down is not None else ():
            port.close() if order.is_down else port.open()

    def count_call(self, zone: str, path: str) -> None:
        """Count a call; an open watch counts once."""
        kind = _KIND_BY_PATH.get(path, 'leases')
        self.calls[kind] += 1
        self.calls[f'{zone}/{kind}'] += 1

    def _revoke_lease_of(self, key: bytes) -> None:
        for stored in self.store.get(KeyRange(key)):
            self.store.revoke(stored.lease)

    def _update_cuts(self, zones: tuple[str, ...]) -> None:
        # Calls that wait for the previous cuts to end are dropped.
        self.healed.set()
        if zones:
            self.healed = Event()

    def _expire(self) -> None:
        while True:
            gevent.sleep(EXPIRY_INTERVAL_S)
            self.store.expire(time.monotonic())


class ServicePort:
    """HTTP port of the service for one zone or for control.

    Parameters
    ----------
    service : PlatformService
        Service that the port belongs to.
    zone : str
        Zone of the callers; empty for the control port.
    listen : Endpoint
        Address to listen on.
    gateway : Gateway
        Executes the API calls.
    """

    def __init__(
        self,
        service: PlatformService,
        zone: str,
        listen: Endpoint,
        gateway: Gateway,
    ) -> None:
        self._service = service
        self._zone = zone
        self._address = (listen.address, listen.port)
        self._gateway = gateway
        self._server: WSGIServer | None = None

    @property
    def port(self) -> int:
        """TCP port in use."""
        return self._address[1]

    def open(self) -> None:
        """Accept connections, unless the port is open already."""
        if self._server is not None:
            return
        self._server = _HttpServer(
            self._address,
            self._handle_request,
            spawn=Pool(),
            log=None,
            error_log=None,
        )
        self._server.start()
        self._address = (self._address[0], self._server.server_port)

    def close(self) -> None:
        """Refuse new connections and close the open ones."""
        if self._server is not None:
            self._server.stop(timeout=0)
            self._server = None

    def _handle_request(
        self, environ: dict[str, Any], start: Callable
    ) -> Iterable[bytes]:
        path = environ['PATH_INFO']
        body = json.loads(environ['wsgi.input'].read() or b'{}')
        if path == '/control' and not self._zone:
            return self._handle_control(body, start)
        path = path.removeprefix('/v3/')
        self._service.count_call(self._zone, path)
        self._apply_faults()
        if path == 'watch':
            start('200 OK', _JSON)
            return self._handle_watch(body['create_request'])
        return self._handle_call(path, body, start)

    def _handle_control(self, body: Any, start: Callable) -> list[bytes]:
        self._service.order(body)
        start('200 OK', _JSON)
        return [json.dumps({'calls': dict(self._service.calls)}).encode()]

    def _handle_call(
        self, path: str, body: Any, start: Callable
    ) -> list[bytes]:
        result = self._gateway.call(path, body, time.monotonic())
        if not is_successful(result):
            return _send_failure(result.failure(), start)
        faults = self._service.faults
        if path in _WRITE_PATHS and faults.try_lose_answer(written_keys(body)):
            raise AnswerLostError()
        start('200 OK', _JSON)
        return [json.dumps(result.unwrap()).encode()]

    def _apply_faults(self) -> None:
        faults = self._service.faults
        if faults.is_down:
            raise AnswerLostError()
        if faults.slow_ms:
            gevent.sleep(faults.slow_ms / 1000)
        if self._zone in faults.cut_zones:
            self._service.healed.wait()
            raise AnswerLostError()

    def _handle_watch(self, request: Any) -> Iterator[bytes]:
        keys = decode_range(request)
        store = self._service.store
        queue: Queue[tuple[Change, ...]] = Queue()
        callback = queue.put
        store.watch(callback)
        start_revision = int(request.get('start_revision', 0))
        is_retained = not start_revision or store.is_retained(start_revision)
        if start_revision and is_retained:
            queue.put(store.changes_since(start_revision))
        try:
            header = self._gateway.header()
            yield _encode_line({'result': {'header': header, 'created': True}})
            if is_retained:
                yield from self._stream_changes(keys, queue)
            else:
                yield _encode_line(
                    {'result': {'header': header, 'canceled': True}}
                )
        finally:
            store.unwatch(callback)

    def _stream_changes(
        self, keys: KeyRange, queue: Queue[tuple[Change, ...]]
    ) -> Iterator[bytes]:
        while True:
            changes = queue.get()
            if self._zone in self._service.faults.cut_zones:
                return
            matching = tuple(c for c in changes if keys.contains(c.value.key))
            if matching:
                yield _encode_line(self._gateway.events(matching))


def _send_failure(failure: Failure, start: Callable) -> list[bytes]:
    is_lease_expired = isinstance(failure, LeaseExpired)
    status, code = _NOT_FOUND if is_lease_expired else _INVALID
    start(status, _JSON)
    document = {
        'error': failure.detail,
        'code': code,
        'message': failure.detail,
    }
    return [json.dumps(document).encode()]


def _encode_line(document: Any) -> bytes:
    return json.dumps(document).encode() + b'\n'
