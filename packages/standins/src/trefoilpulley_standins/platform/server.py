"""HTTP ports of the stand-in for the platform's service."""

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
"""Time between two looks at the leases, in seconds."""

_WRITES = ('kv/put', 'kv/txn', 'kv/deleterange')
_KINDS = {
    'kv/range': 'reads',
    'kv/put': 'writes',
    'kv/txn': 'writes',
    'kv/deleterange': 'writes',
    'watch': 'watches',
}
_NOT_FOUND = ('404 Not Found', 5)
_INVALID = ('400 Bad Request', 3)
_JSON = [('Content-Type', 'application/json')]


class AnswerLost(ConnectionResetError):
    """The connection closes in place of the answer."""

    def __init__(self) -> None:
        super().__init__(errno.ECONNRESET, 'answer is lost')


class _HttpServer(WSGIServer):
    def handle(self, sock: socket.socket, address: tuple) -> None:
        # Header and body leave in two writes, which would otherwise wait
        # for the client's delayed acknowledgement.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle(sock, address)


class PlatformService:
    """The service with a port for each zone and one for control.

    Parameters
    ----------
    control : Endpoint
        Address for orders; also serves the calls of no zone.
    cfg : PlatformSettings
        Values and zones.
    """

    def __init__(self, control: Endpoint, cfg: PlatformSettings) -> None:
        self.store = KeyValueStore()
        """State of the service."""

        self.faults = Faults()
        """Faults in force."""

        self.calls: Counter[str] = Counter()
        """Calls by kind, and by zone and kind."""

        self.healed = Event()
        """Set while no zone is cut off."""

        self.healed.set()
        for seed in cfg.values:
            put = Put(seed.key.encode(), seed.value.encode())
            self.store.execute((), (put,))
        self._converter = make_converter(forbid_extra_keys=True)
        plain = Gateway(self.store, PlainView())
        self._control = ServicePort(self, '', control, plain)
        self._zones = []
        for zone in cfg.zones:
            view = RoutedView({r.port: r.via for r in zone.routes})
            gateway = Gateway(self.store, view)
            port = ServicePort(self, zone.zone, zone.listen, gateway)
            self._zones.append(port)

    @property
    def port(self) -> int:
        """Port for orders."""
        return self._control.port

    def start(self) -> None:
        """Open every port."""
        self._control.open()
        for port in self._zones:
            port.open()
        gevent.spawn(self._expire)

    def stop(self) -> None:
        """Close every port."""
        self._control.shut()
        for port in self._zones:
            port.shut()

    def order(self, document: Any) -> None:
        """Put an order in force."""
        order = self._converter.structure(document, Order)
        self.faults.apply_order(order)
        if order.lapse_key is not None:
            self._lapse(order.lapse_key.encode())
        if order.cut_zones is not None:
            self._cut(order.cut_zones)
        for port in self._zones if order.is_down is not None else ():
            port.shut() if order.is_down else port.open()

    def count(self, zone: str, path: str) -> None:
        """Count a call; a waiting watch is one."""
        kind = _KINDS.get(path, 'leases')
        self.calls[kind] += 1
        self.calls[f'{zone}/{kind}'] += 1

    def _lapse(self, key: bytes) -> None:
        for stored in self.store.get(KeyRange(key)):
            self.store.revoke(stored.lease)

    def _cut(self, zones: tuple[str, ...]) -> None:
        # Whatever was held back is dropped when a set of cuts ends.
        self.healed.set()
        if zones:
            self.healed = Event()

    def _expire(self) -> None:
        while True:
            gevent.sleep(EXPIRY_INTERVAL_S)
            self.store.expire(time.monotonic())


class ServicePort:
    """One HTTP port of the service.

    Parameters
    ----------
    service : PlatformService
        Service that the port belongs to.
    zone : str
        Zone of the port's callers; empty for control.
    listen : Endpoint
        Address to listen on.
    gateway : Gateway
        Answers the calls.
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
        """Begin to accept, where the port is shut."""
        if self._server is not None:
            return
        self._server = _HttpServer(
            self._address, self._answer, spawn=Pool(), log=None, error_log=None
        )
        self._server.start()
        self._address = (self._address[0], self._server.server_port)

    def shut(self) -> None:
        """Refuse connections and break those that are open."""
        if self._server is not None:
            self._server.stop(timeout=0)
            self._server = None

    def _answer(
        self, environ: dict[str, Any], start: Callable
    ) -> Iterable[bytes]:
        path = environ['PATH_INFO']
        body = json.loads(environ['wsgi.input'].read() or b'{}')
        if path == '/control' and not self._zone:
            return self._control(body, start)
        path = path.removeprefix('/v3/')
        self._service.count(self._zone, path)
        self._delay()
        if path == 'watch':
            start('200 OK', _JSON)
            return self._watch(body['create_request'])
        return self._call(path, body, start)

    def _control(self, body: Any, start: Callable) -> list[bytes]:
        self._service.order(body)
        start('200 OK', _JSON)
        return [json.dumps({'calls': dict(self._service.calls)}).encode()]

    def _call(self, path: str, body: Any, start: Callable) -> list[bytes]:
        done = self._gateway.call(path, body, time.monotonic())
        if not is_successful(done):
            return _refuse(done.failure(), start)
        faults = self._service.faults
        if path in _WRITES and faults.try_lose_answer(written_keys(body)):
            raise AnswerLost()
        start('200 OK', _JSON)
        return [json.dumps(done.unwrap()).encode()]

    def _delay(self) -> None:
        faults = self._service.faults
        if faults.is_down:
            raise AnswerLost()
        if faults.slow_ms:
            gevent.sleep(faults.slow_ms / 1000)
        if self._zone in faults.cut_zones:
            self._service.healed.wait()
            raise AnswerLost()

    def _watch(self, request: Any) -> Iterator[bytes]:
        keys = decode_range(request)
        store = self._service.store
        queue: Queue[tuple[Change, ...]] = Queue()
        callback = queue.put
        store.watch(callback)
        since = int(request.get('start_revision', 0))
        is_retained = not since or store.is_retained(since)
        if since and is_retained:
            queue.put(store.changes_since(since))
        try:
            header = self._gateway.header()
            yield _to_line({'result': {'header': header, 'created': True}})
            if is_retained:
                yield from self._follow(keys, queue)
            else:
                yield _to_line(
                    {'result': {'header': header, 'canceled': True}}
                )
        finally:
            store.unwatch(callback)

    def _follow(
        self, keys: KeyRange, queue: Queue[tuple[Change, ...]]
    ) -> Iterator[bytes]:
        while True:
            changes = queue.get()
            if self._zone in self._service.faults.cut_zones:
                return
            seen = tuple(c for c in changes if keys.contains(c.value.key))
            if seen:
                yield _to_line(self._gateway.events(seen))


def _refuse(failure: Failure, start: Callable) -> list[bytes]:
    is_lease = isinstance(failure, LeaseExpired)
    status, code = _NOT_FOUND if is_lease else _INVALID
    start(status, _JSON)
    document = {
        'error': failure.detail,
        'code': code,
        'message': failure.detail,
    }
    return [json.dumps(document).encode()]


def _to_line(document: Any) -> bytes:
    return json.dumps(document).encode() + b'\n'
