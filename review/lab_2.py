"""Small deployment on loopback addresses for the scripts of this review.

One process, this one, has the stand-ins: the platform's store, its promotion
service, the members of one service, the links to the members, and the clients.
The entry hosts are processes of their own, started with the command of the
deploy file. The store and the members are those of the project's emulator.
"""

from __future__ import annotations

import json
import os
from pathlib import Path
import random
import shutil
import signal
import socket as plain_socket
import struct
import subprocess
import tempfile
import time
import traceback
from typing import TYPE_CHECKING

import gevent
from gevent.event import Event
from gevent.pywsgi import WSGIServer
from gevent.server import StreamServer
from gevent import socket

from trefoilpulley_emulator.group import EmulatedGroup
from trefoilpulley_emulator.kv_server import KvServer
from trefoilpulley_emulator.member_log import GroupLog
from trefoilpulley_emulator.member_log import MemberState

if TYPE_CHECKING:
    from collections.abc import Callable

ROOT = Path(__file__).resolve().parents[2]
ZONES = ('gr-north-a', 'gr-north-b', 'gr-north-c')
PROMOTE_S = 0.6
"""Time from the order to the lead: promote_ms of the site file."""

RETRY_S = 0.05
SERVICE = 'ledger'

BOUNDS = {
    'seed_lag_s': 3,
    'reuse_after_s': 2,
    'stable_ms': 4000,
    'ack_ms': 5000,
    'catch_up_s': 4,
    'drain_ms': 7000,
    'grace_s': 6,
    'loss_slack_ms': 200,
    'config_apply_ms': 3000,
    'rollback_slack_ms': 250,
    'max_stretch_ms': 12000,
    'recover_s': 12,
    'require_fence': 'true',
    'thaw_slack_ms': 300,
}


LIMIT_S = 110
"""Time after which a script gives up, in seconds."""


def run_case(lab: Lab, play: Callable[[Lab], int]) -> int:
    """Play a case and return the exit status; 2 if it couldn't run."""

    def give_up() -> None:
        lab.record.say('the script takes too long')
        lab.stop()
        os._exit(2)

    gevent.spawn_later(LIMIT_S, give_up)
    try:
        return play(lab)
    except Exception:
        traceback.print_exc()
        return 2
    finally:
        lab.stop()


def is_troubled() -> bool:
    """Return whether the script makes its disruption."""
    return os.environ.get('TROUBLE', '1') != '0'


class Record:
    """Writes what happens to the file of a case."""

    def __init__(self, path: Path) -> None:
        self._file = path.open('w', encoding='utf-8')
        self.began_at = time.monotonic()

    @property
    def now(self) -> float:
        """Time since the start, in seconds."""
        return time.monotonic() - self.began_at

    def add(self, text: str) -> None:
        """Write one line with the time."""
        self._file.write(f'{self.now:8.3f} {text}\n')
        self._file.flush()

    def say(self, text: str) -> None:
        """Write one line and print it."""
        self.add(text)
        print(f'{self.now:8.3f} {text}', flush=True)


class Ports:
    """Gives free ports on 127.0.0.1 and keeps them reserved until the end."""

    def __init__(self) -> None:
        self._held: dict[int, plain_socket.socket] = {}

    def next(self) -> int:
        """Return a port that nobody uses."""
        while True:
            port = random.SystemRandom().randrange(12000, 32000)
            sock = plain_socket.socket()
            try:
                sock.bind(('127.0.0.1', port))
            except OSError:
                sock.close()
                continue
            if port not in self._held:
                self._held[port] = sock
                return port
            sock.close()

    def release(self, *ports: int) -> None:
        """Let processes bind ports."""
        for port in ports:
            self._held.pop(port).close()


class Link:
    """Forwards connections to one address; can go silent or refuse."""

    def __init__(self, port: int, target: int) -> None:
        self.port = port
        self.target = target
        self._is_open = Event()
        self._is_open.set()
        self._sockets: set[socket.socket] = set()
        self._server: StreamServer | None = None

    def start(self) -> None:
        """Listen."""
        self._server = StreamServer(('127.0.0.1', self.port), self._serve)
        self._server.start()

    def stop(self) -> None:
        """Listen no more."""
        if self._server is not None:
            self._server.stop(timeout=0)
            self._server = None

    def refuse(self) -> None:
        """Reset the connections, and refuse new ones until the link heals."""
        self.stop()
        for sock in tuple(self._sockets):
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
            )
            sock.close()

    def cut(self) -> None:
        """Hold every byte until the link heals."""
        self._is_open.clear()

    def heal(self) -> None:
        """Forward again, first what was held."""
        self._is_open.set()
        if self._server is None:
            self.start()

    def _serve(self, sock: socket.socket, address: tuple) -> None:
        self._is_open.wait()
        try:
            member = socket.create_connection(('127.0.0.1', self.target), 5)
        except OSError:
            sock.close()
            return
        pair = {sock, member}
        self._sockets |= pair
        pumps = [
            gevent.spawn(self._pump, sock, member),
            gevent.spawn(self._pump, member, sock),
        ]
        gevent.joinall(pumps)
        self._sockets -= pair
        for end in pair:
            end.close()

    def _pump(self, source: socket.socket, sink: socket.socket) -> None:
        try:
            while data := source.recv(65536):
                self._is_open.wait()
                sink.sendall(data)
        except OSError:
            pass
        for sock in (source, sink):
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


class ZonedLog(GroupLog):
    """Logs of members some of which may be cut off from the others."""

    def __init__(self, members: tuple[str, ...]) -> None:
        super().__init__(members)
        self.cut: set[str] = set()
        """Members that reach neither the other ones nor the store."""

    def _follow(self, other: MemberState, primary: MemberState) -> None:
        if (other.member in self.cut) == (primary.member in self.cut):
            super()._follow(other, primary)


class Store(KvServer):
    """Store of the platform, whose answers name no era, as in PROTOCOL.md."""

    def _serve(self, environ, start_response):
        def start(status, headers):
            start_response(status, [h for h in headers if h[0] != 'Store-Era'])

        return super()._serve(environ, start)


class PromotionService:
    """Promotion service of the platform, as PROTOCOL.md describes it.

    Parameters
    ----------
    group : EmulatedGroup
        Members.
    record : Record
        Told of every call.
    promote_s : float
        Time from an order to the lead, in seconds.
    """

    def __init__(
        self, group: EmulatedGroup, record: Record, promote_s: float
    ) -> None:
        self._group = group
        self._record = record
        self._promote_s = promote_s
        self._token = -1
        self.calls: list[tuple[float, str, str, int]] = []
        """Time, holder, member and fence number of each call."""

        self.late_s: float | None = None
        """Calls get no answer and are carried out so much later."""

        self.is_down = False
        """Calls get 503, and nothing is done."""

        self.on_promoted = lambda member: None
        """Called when a member is about to lead."""

        self._server = WSGIServer(('127.0.0.1', 0), self._serve, log=None)

    @property
    def port(self) -> int:
        """Port of the service on 127.0.0.1."""
        return self._server.server_port

    def start(self) -> None:
        """Listen on a free port."""
        self._server.start()

    def stop(self) -> None:
        """Listen no more."""
        self._server.stop(timeout=0)

    def _serve(self, environ, start_response):
        body = json.loads(environ['wsgi.input'].read())
        holder = environ['HTTP_DUTY_HOLDER']
        token = int(environ['HTTP_FENCING_TOKEN'])
        member = body['id']
        self.calls.append((self._record.now, holder, member, token))
        call = f'promotion of {member} by {holder}, fence {token}'
        if self.is_down:
            self._record.add(f'{call}: 503, the service is down')
            start_response('503 -', [('Content-Length', '0')])
            return ()
        if self.late_s is not None:
            self._record.add(f'{call}: no answer, done {self.late_s} s later')
            gevent.spawn_later(
                self.late_s, self._carry_out, call, member, token
            )
            gevent.sleep(30)
            start_response('503 -', [('Content-Length', '0')])
            return ()
        status = self._carry_out(call, member, token)
        start_response(f'{status} -', [('Content-Length', '0')])
        return ()

    def _carry_out(self, call: str, member: str, token: int) -> int:
        status = self._check(member, token)
        self._record.add(f'{call}: {status}')
        if status == 200:
            gevent.spawn_later(self._promote_s, self._promote, member)
        return status

    def _check(self, member: str, token: int) -> int:
        if token < self._token:
            return 409
        self._token = token
        state = self._group.log.members.get(member)
        return 200 if state is not None and state.is_running else 409

    def _promote(self, member: str) -> None:
        state = self._group.log.members[member]
        if not state.is_running or state.is_primary:
            return
        self.on_promoted(member)
        log = self._group.log
        log.promote(member)
        for name, server in self._group.servers.items():
            if server.state.is_running and name not in log.cut:
                self._group.publish_member(name)
        self._record.say(f'{member} leads term {state.term}')


class Host:
    """Entry host: a process started as the deploy file says."""

    def __init__(self, lab: Lab, name: str, zone: str) -> None:
        ports = lab.ports
        self.name = name
        self._lab = lab
        self.front, self.ready, self.control, self.peer, self.metrics = (
            ports.next() for _ in range(5)
        )
        self._conf = lab.folder / f'{name}.conf'
        self._log = lab.folder / f'{name}.log'
        self.process: subprocess.Popen | None = None
        fields = {
            'node_name': name,
            'role': 'entry',
            'machine_class': 'front',
            'serves': 'front',
            'ip': '127.0.0.1',
            'zone': zone,
            'region': 'gr-north',
            **{f'zones.{z}': 'gr-north' for z in ZONES},
            'listen_addrs.front': f'127.0.0.1:{self.front}',
            'listen_addrs.ready': f'127.0.0.1:{self.ready}',
            'port_range': f'{self.peer},{self.peer}',
            'seeds': '',
            'bootstrap': 'true',
            'counts_as_loss': 'false',
            'limits.cpu_share': '0.537',
            'limits.cores': '2',
            'limits.memory_mb': '300',
            'limits.max_fds': '4200',
            'limits.link_mbps': '1000.0',
            'limits.disk_mb': '0',
            'discovery': 'platform',
            'entry': 'virtual_ip',
            'heartbeat_ms': '1200',
            'contracts': 'base,drain,config,cost,recover,sql,platform',
            'fault_tolerance.machines': '1',
            'fault_tolerance.zones': '1',
            'fault_tolerance.regions': '0',
            **{f'bounds.{k}': v for k, v in BOUNDS.items()},
            'platform.address': lab.store.address,
            'platform.form': 'kv',
            'platform.writes_per_s': '400',
            'platform.reads_per_s': '2000',
            'platform.history_s': '20',
            'platform.value_bytes': '1048576',
            'platform.ttl_min_ms': '1000',
            'cloud_api.address': f'127.0.0.1:{lab.promotion_link.port}',
            'cloud_api.rate_per_s': '50.0',
            'cloud_api.duties': 'promote',
            'cloud_api.duty_per_s': '50.0',
        }
        self._conf.write_text(
            ''.join(f'{k}={v}\n' for k, v in fields.items()), encoding='utf-8'
        )

    def start(self) -> None:
        """Start the process."""
        env = {
            k: os.environ[k]
            for k in ('PATH', 'HOME', 'LANG')
            if k in os.environ
        }
        env['TREFOILPULLEY_BOOT'] = str(self._conf)
        env['TREFOILPULLEY_METRICS'] = f'{self.metrics}/metrics'
        env['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        with self._log.open('ab') as out:
            self.process = subprocess.Popen(
                ['python3', '-S', '-m', 'trefoilpulley_platform'],
                cwd=ROOT,
                env=env,
                stdout=out,
                stderr=subprocess.STDOUT,
            )

    def send(self, signum: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signum)

    def kill(self) -> None:
        """Kill the process."""
        self.send(signal.SIGKILL)
        if self.process is not None:
            self.process.wait(20)

    def is_ready(self) -> bool:
        """Return whether the host counts itself as ready."""
        try:
            sock = socket.create_connection(('127.0.0.1', self.ready), 1)
            sock.settimeout(1)
            sock.sendall(
                b'GET /v1/readiness HTTP/1.1\r\nHost: a\r\n'
                b'Connection: close\r\n\r\n'
            )
            line = sock.recv(64)
            sock.close()
        except OSError:
            return False
        return b' 200 ' in line

    def find_log(self, text: str) -> list[str]:
        """Return the lines of the log that contain a text."""
        lines = self._log.read_text(encoding='utf-8').splitlines()
        return [x for x in lines if text in x]


class Client:
    """Session of a client; each request has an id of its own."""

    _number = 0

    def __init__(self, port: int, database: str, timeout_s: float) -> None:
        self._sock = socket.create_connection(('127.0.0.1', port), 2)
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sock.settimeout(timeout_s)
        self._lines = self._sock.makefile('rb')
        self._sock.sendall(f'START {database} client\r\n'.encode())
        self.greeting = self._read_line()

    def next_id(self) -> str:
        """Return the id of the next statement of any client."""
        return f'{Client._number + 1:016x}'

    def send(self, text: str) -> str:
        """Send a statement; return its id."""
        Client._number += 1
        request_id = f'{Client._number:016x}'
        self._sock.sendall(f'QUERY {request_id} {text}\r\n'.encode())
        return request_id

    def read(self) -> tuple[str, list[str], str]:
        """Return outcome, rows and the READY line of the next answer."""
        rows = []
        while (line := self._read_line()).startswith('ROW '):
            rows.append(line[4:])
        return line, rows, self._read_line()

    def ask(self, text: str) -> tuple[str, list[str], str]:
        """Send a statement and return its answer."""
        self.send(text)
        return self.read()

    def close(self) -> None:
        """Close the session."""
        self._lines.close()
        self._sock.close()

    def _read_line(self) -> str:
        line = self._lines.readline()
        if not line:
            raise ConnectionError('closed')
        return line.decode('latin-1').rstrip('\r\n')


class Lab:
    """A small deployment.

    Parameters
    ----------
    record_path : Path
        File for what was sent, answered and run.
    synchronous : int
        ``sync_replicas`` of the service.
    routes : dict[str, str]
        Route type by database name.
    hosts : tuple[str, ...]
        Zone of each entry host.
    max_connections : int
        Connections that each member accepts.
    promote_s : float
        Time from an order of promotion to the lead, in seconds.
    """

    def __init__(
        self,
        record_path: Path,
        synchronous: int = 0,
        routes: dict[str, str] | None = None,
        hosts: tuple[str, ...] = ZONES,
        max_connections: int = 16,
        promote_s: float = PROMOTE_S,
    ) -> None:
        self.record = Record(record_path)
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        self.ports = Ports()
        self.store = Store()
        self.store.start()
        self.group = EmulatedGroup(SERVICE, ZONES, self.store, max_connections)
        self._use_zoned_log()
        self.group.log.synchronous_replicas = synchronous
        self.promotions = PromotionService(self.group, self.record, promote_s)
        self.promotions.start()
        self.links: dict[str, Link] = {}
        port = self.ports.next()
        self.ports.release(port)
        self.promotion_link = Link(port, self.promotions.port)
        self.promotion_link.start()
        self._synchronous = synchronous
        self._max_connections = max_connections
        self.routes = routes or {'filings': 'primary'}
        self.version = 1
        self.hosts = [
            Host(self, f'front-{z}-{n}', z) for n, z in enumerate(hosts, 1)
        ]

    def start(self) -> None:
        """Start everything and wait until all hosts serve."""
        self.configure()
        for member, server in self.group.servers.items():
            server.start()
            port = self.ports.next()
            self.ports.release(port)
            link = self.links[member] = Link(port, server.port)
            link.start()
            self.group.published_addresses[member] = f'127.0.0.1:{port}'
            self.group.publish_member(member)
        for host in self.hosts:
            self.ports.release(
                host.front, host.ready, host.control, host.peer, host.metrics
            )
            host.start()
        self.wait_ready()

    def wait_ready(self, timeout_s: float = 15.0) -> None:
        """Wait until every host is ready, or exit with status 2."""
        deadline = time.monotonic() + timeout_s
        while not all(h.is_ready() for h in self.hosts):
            if time.monotonic() > deadline:
                self.record.say('the hosts do not get ready')
                self.stop()
                os._exit(2)
            gevent.sleep(0.1)
        self.record.say(f'{len(self.hosts)} hosts are ready')

    def cut(self, member: str) -> None:
        """Cut a member off from hosts, members and store, silently."""
        self.links[member].cut()
        self.group.log.cut.add(member)

    def heal(self, member: str) -> None:
        """End the cut of a member."""
        self.group.log.cut.discard(member)
        self.links[member].heal()
        leader = self.group.log.primary
        for state in self.group.log.members.values():
            state.is_primary = state is leader
        self.group.log.replicate(leader)
        self.group.publish_member(member)

    def replace(self, member: str, successor: str) -> None:
        """End a member; its log goes to a new one at its address."""
        self.record.say(f'planned: {member} ends, {successor} takes its place')
        port = self.group.servers[member].port
        self.links[successor] = self.links.pop(member)
        self.group.replace(member, successor)
        self.links[successor].target = port

    def _use_zoned_log(self) -> None:
        group = self.group
        log = ZonedLog(tuple(group.log.members))
        log.members = group.log.members
        group.log = log
        for server in group.servers.values():
            server.log = log

    def configure(self) -> None:
        """Write the configuration as the operator."""
        self.version += 2
        self.store.put(
            'op/config',
            {
                'config_version': self.version,
                'routes': [
                    {
                        'name': f'r-{name}',
                        'host': name,
                        'prefix': '/',
                        'route_type': kind,
                        'timeout_ms': 800,
                        'goal_ms': 200,
                        'priority': 1,
                        'service': SERVICE,
                        'max_attempts': 2,
                        'max_staleness_ms': 1500,
                    }
                    for name, kind in self.routes.items()
                ],
                'services': [
                    {
                        'name': SERVICE,
                        'max_conns': self._max_connections,
                        'sync_replicas': self._synchronous,
                    }
                ],
                'limits': {'tx_idle_ms': 3000},
            },
        )

    def stop(self) -> None:
        """End every process and remove the temporary folder."""
        for host in self.hosts:
            host.send(signal.SIGCONT)
            host.kill()
        for link in (*self.links.values(), self.promotion_link):
            link.stop()
        self.group.stop()
        self.promotions.stop()
        self.store.stop()
        if os.environ.get('KEEP') != '1':
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print(self.folder)


class Writer:
    """Client that records one filing after the other, in its own sessions.

    Parameters
    ----------
    lab : Lab
        Deployment.
    name : str
        Prefix of the items that the client writes.
    pause_s : float
        Time between two filings, in seconds.
    """

    def __init__(self, lab: Lab, name: str, pause_s: float) -> None:
        self._lab = lab
        self._name = name
        self._pause_s = pause_s
        self.sent: list[tuple[float, str]] = []
        """Time and data of each write that was sent."""

        self.acknowledged: list[tuple[float, str]] = []
        """Time and data of each write that was answered with success."""

        self.is_stopping = False
        self._rng = random.Random(name)

    def run(self) -> None:
        """Write until told to stop."""
        number = 0
        client: Client | None = None
        while not self.is_stopping:
            gevent.sleep(self._pause_s)
            number += 1
            data = f'{self._name}.{number}'
            record = self._lab.record
            began = record.now
            try:
                if client is None:
                    host = self._rng.choice(self._lab.hosts)
                    client = Client(host.front, 'filings', 3.0)
                    if not client.greeting.startswith('READY'):
                        raise ConnectionError(client.greeting)
                self.sent.append((began, data))
                outcome, _, _ = client.ask(f'WRITE i{number % 50} {data}')
            except (OSError, ConnectionError) as exc:
                record.add(f'client {data}: {type(exc).__name__} {exc}')
                if client is not None:
                    client.close()
                client = None
                continue
            record.add(f'client {data}: {outcome}')
            if outcome.startswith('DONE'):
                self.acknowledged.append((record.now, data))
        if client is not None:
            client.close()
