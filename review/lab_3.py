"""Small deployment on loopback addresses for the scripts of the third review.

The hosts are separate processes, started with the command of the deploy file.
The store, the promotion service and the members are the project's emulator,
which runs in the process of the script, with its own callers.
"""

from __future__ import annotations

import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import gevent
import gevent.socket
from gevent.event import Event
from gevent.server import StreamServer
from trefoilpulley_emulator import promotion_server
from trefoilpulley_emulator.caller import Caller
from trefoilpulley_emulator.group import EmulatedGroup
from trefoilpulley_emulator.kv_server import KvServer
from trefoilpulley_emulator.promotion_server import PromotionServer

ROOT = Path(__file__).resolve().parent.parent
ZONES = ('north', 'south', 'east')

# Time of a promotion as on the sheets of the sites, in seconds.
promotion_server.PROMOTION_DELAY_S = 0.6

START_TIMEOUT_S = 20.0


class CannotRun(Exception):
    """The case can't run on this machine."""


_GIVEN_PORTS: set[int] = set()


def free_ports(count: int) -> list[int]:
    """Return ports of the loopback address that are free now.

    They lie below the range from which clients' connections get theirs. No
    port is given twice.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = random.SystemRandom().randrange(12000, 32000)
        with socket.socket() as sock:
            try:
                sock.bind(('127.0.0.1', port))
            except OSError:
                continue
        if port not in _GIVEN_PORTS:
            _GIVEN_PORTS.add(port)
            ports.append(port)
    return ports


class Record:
    """Writes what is sent, answered and run, with the time of the run."""

    def __init__(self, path: Path) -> None:
        self._file = path.open('w', encoding='utf-8')
        self.began_at = time.monotonic()

    def now(self) -> float:
        """Return the time of the run, in seconds."""
        return time.monotonic() - self.began_at

    def write(self, text: str) -> None:
        """Write one line with its time."""
        self._file.write(f'{self.now():8.3f} {text}\n')
        self._file.flush()


class Host:
    """Host process, started as the deploy file says."""

    def __init__(
        self,
        name: str,
        zone: str,
        directory: Path,
        store_address: str,
        promotion_address: str,
        extra: dict[str, str],
    ) -> None:
        self.name = name
        self.zone = zone
        self.port, self.ready_port, self.peer_port = free_ports(3)
        self.settings = directory / f'{name}.conf'
        self.log = directory / f'{name}.log'
        self.process: subprocess.Popen | None = None
        fields = {
            'node_name': name,
            'role': 'entry',
            'machine_class': 'front',
            'serves': 'front',
            'ip': '127.0.0.1',
            'zone': zone,
            'region': 'here',
            **{f'zones.{z}': 'here' for z in ZONES},
            'listen_addrs.front': f'127.0.0.1:{self.port}',
            'listen_addrs.ready': f'127.0.0.1:{self.ready_port}',
            'port_range': f'{self.peer_port},{self.peer_port}',
            'discovery': 'platform',
            'entry': 'virtual_ip',
            'heartbeat_ms': '1200',
            'bounds.stable_ms': '4000',
            'bounds.drain_ms': '7000',
            'bounds.grace_s': '6',
            'bounds.loss_slack_ms': '200',
            'bounds.config_apply_ms': '3000',
            'bounds.rollback_slack_ms': '250',
            'bounds.max_stretch_ms': '12000',
            'bounds.recover_s': '12',
            'bounds.require_fence': 'true',
            'platform.address': store_address,
            'platform.form': 'kv',
            'platform.history_s': '20',
            'platform.value_bytes': '1048576',
            'platform.ttl_min_ms': '1000',
            'cloud_api.address': promotion_address,
            'cloud_api.duties': 'promote',
            **extra,
        }
        text = ''.join(f'{k}={v}\n' for k, v in fields.items())
        self.settings.write_text(text, encoding='utf-8')

    def start(self) -> None:
        """Start the process."""
        env = {
            k: os.environ[k]
            for k in ('PATH', 'HOME', 'LANG')
            if k in os.environ
        }
        env['TREFOILPULLEY_BOOT'] = str(self.settings)
        env['PYTHONPATH'] = 'target/deps'
        with self.log.open('ab') as out:
            self.process = subprocess.Popen(
                ['python3', '-S', '-m', 'trefoilpulley_platform'],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=subprocess.STDOUT,
                env=env,
            )

    @property
    def is_running(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def is_ready(self) -> bool:
        """Return whether the readiness check is answered with 200."""
        try:
            with socket.create_connection(
                ('127.0.0.1', self.ready_port), 0.5
            ) as sock:
                sock.sendall(
                    b'GET /v1/readiness HTTP/1.1\r\nHost: x\r\n'
                    b'Connection: close\r\n\r\n'
                )
                return b' 200 ' in sock.recv(200)
        except OSError:
            return False

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.is_running:
            self.process.send_signal(number)

    def connect(self, database: str, key: str = 'caller') -> Caller:
        """Open a caller's session."""
        return Caller(('127.0.0.1', self.port), database, key)

    def events(self, *names: str) -> list[dict]:
        """Return the logged events of some names."""
        found = []
        for line in self.log.read_text(encoding='utf-8').splitlines():
            try:
                event = json.loads(line)
            except ValueError:
                continue
            if isinstance(event, dict) and event.get('event') in names:
                found.append(event)
        return found

    def kill(self) -> None:
        """Kill the process, also one that is stopped, and wait."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait(10)


class Lab:
    """Store, promotion service, one group of members and some hosts."""

    def __init__(
        self,
        record: Record,
        max_connections: int = 16,
        zones: tuple[str, ...] = ZONES,
        has_links: bool = False,
    ) -> None:
        self.record = record
        self.directory = Path(tempfile.mkdtemp(prefix='review-3-'))
        self.store = KvServer()
        self.store.start()
        self.group = EmulatedGroup(
            'ledger', zones, self.store, max_connections
        )
        self.promotions = PromotionServer({'ledger': self.group})
        self.promotions.start()
        self.promotion_address = self.promotions.address
        self.links: dict[str, Link] = {}
        if has_links:
            self._add_links()
        self.group.start()
        self.hosts: list[Host] = []

    def _add_links(self) -> None:
        """Put a link before each member and the promotion service."""
        for member, server in self.group.servers.items():
            server.port = free_ports(1)[0]
            link = self.links[member] = Link(server.port)
            link.start()
            self.group.published_addresses[member] = f'127.0.0.1:{link.port}'
        _, _, port = self.promotions.address.rpartition(':')
        link = self.links['promotions'] = Link(int(port))
        link.start()
        self.promotion_address = f'127.0.0.1:{link.port}'

    def add_hosts(
        self, count: int, zones: tuple[str, ...] = ZONES, **extra: str
    ) -> None:
        """Start hosts, spread over some zones."""
        settings = {k.replace('__', '.'): v for k, v in extra.items()}
        for number in range(len(self.hosts), len(self.hosts) + count):
            host = Host(
                f'front-{number}',
                zones[number % len(zones)],
                self.directory,
                self.store.address,
                self.promotion_address,
                settings,
            )
            self.hosts.append(host)
            host.start()

    def await_ready(self) -> None:
        """Wait until every host is ready."""
        deadline = time.monotonic() + START_TIMEOUT_S
        while not all(h.is_ready() for h in self.hosts):
            if time.monotonic() > deadline:
                raise CannotRun('the hosts do not become ready')
            gevent.sleep(0.1)

    def stop(self) -> None:
        """End every process and remove the temporary folder."""
        for host in self.hosts:
            host.kill()
        for link in self.links.values():
            link.stop()
        self.group.stop()
        self.promotions.stop()
        self.store.stop()
        if os.environ.get('KEEP') == '1':
            print(self.directory, file=sys.stderr)
        else:
            shutil.rmtree(self.directory, ignore_errors=True)


def run_case(play, record_path: Path) -> int:
    """Play a case; return 1 if its rule was broken, 0 if not, 2 on trouble.

    ``play`` gets the record, and whether there is trouble, and returns the
    breaks that it has found.
    """
    record = Record(record_path)
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    record.write(f'trouble: {"yes" if has_trouble else "no"}')
    try:
        with gevent.Timeout(110):
            breaks = play(record, has_trouble)
    except (CannotRun, OSError, gevent.Timeout) as exc:
        record.write(f'the case could not run: {exc!r}')
        return 2
    for text in breaks:
        record.write(f'BROKEN {text}')
    record.write(f'{len(breaks)} breaks')
    return 1 if breaks else 0


def make_configuration(
    version: int,
    routes: dict[str, str],
    max_connections: int = 16,
    synchronous_replicas: int = 0,
    tenants: list[dict] | None = None,
    timeout_ms: int = 800,
) -> dict:
    """Return a configuration as the operator writes it."""
    document: dict = {
        'config_version': version,
        'routes': [
            {
                'name': f'r-{host}',
                'host': host,
                'prefix': '/',
                'route_type': route_type,
                'timeout_ms': timeout_ms,
                'goal_ms': 200,
                'priority': 1,
                'service': 'ledger',
                'max_attempts': 2,
                'max_staleness_ms': 2500,
            }
            for host, route_type in routes.items()
        ],
        'services': [
            {
                'name': 'ledger',
                'max_conns': max_connections,
                'sync_replicas': synchronous_replicas,
            }
        ],
        'limits': {'tx_idle_ms': 3000},
    }
    if tenants is not None:
        document['tenants'] = tenants
    return document


class Link:
    """Forwards connections to one address, or holds every byte for a while.

    A connection that is opened while the link is cut delivers nothing: its
    opening packet is lost. On a connection from before the cut, the bytes
    arrive at the end of the cut, also if their sender has closed the
    connection since.
    """

    def __init__(self, target: int) -> None:
        self.target = target
        self.is_cut = False
        self._healed = Event()
        self._server = StreamServer(('127.0.0.1', 0), self._serve)

    @property
    def port(self) -> int:
        """Port on which the link listens."""
        return self._server.server_port

    def start(self) -> None:
        """Listen on a free port."""
        self._server.start()

    def stop(self) -> None:
        """Listen no more."""
        self._server.stop(timeout=0)

    def cut(self) -> None:
        """Hold every byte until the link heals."""
        self._healed.clear()
        self.is_cut = True

    def heal(self) -> None:
        """Forward again, first what was held."""
        self.is_cut = False
        self._healed.set()

    def _wait(self) -> None:
        while self.is_cut:
            self._healed.wait()

    def _serve(self, sock: gevent.socket.socket, address: tuple) -> None:
        if self.is_cut:
            self._wait()
            sock.close()
            return
        try:
            peer = gevent.socket.create_connection(
                ('127.0.0.1', self.target), 5
            )
        except OSError:
            sock.close()
            return
        pumps = [
            gevent.spawn(self._pump, sock, peer),
            gevent.spawn(self._pump, peer, sock),
        ]
        gevent.joinall(pumps)
        sock.close()
        peer.close()

    def _pump(
        self, source: gevent.socket.socket, sink: gevent.socket.socket
    ) -> None:
        try:
            while data := source.recv(65536):
                self._wait()
                sink.sendall(data)
            self._wait()
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            for sock in (source, sink):
                try:
                    sock.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass
