"""Stand-ins for the platform, the members and the clients of a script.

They speak what PROTOCOL.md says, on loopback addresses, with the standard
library alone. The entry hosts are the project's own program, started with the
command of the deploy file after its build.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import urllib.parse
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HEARTBEAT_S = 1.2
RECEIVE_S = 0.003
PROMOTE_S = 0.6
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not run, so that it shows nothing."""


def free_ports(count):
    """Return ports that are free now, below those of outgoing connections."""
    ports = []
    while len(ports) < count:
        port = random.randint(15000, 30000)
        with socket.socket() as sock:
            try:
                sock.bind(('127.0.0.1', port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


class Record:
    """Writes record.txt: what was sent, answered and run, with times."""

    def __init__(self, path):
        self._file = open(path, 'w', encoding='latin-1')
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def line(self, who, text):
        self._file.write(f'{self.now():9.4f} {who:14} {text}\n')
        self._file.flush()


class Store:
    """The platform's metadata store."""

    def __init__(self, record):
        self.record = record
        self.items = {}
        self.history = []
        self.revision = 100
        self.leases = {}
        self._lease = 40
        self._changed = asyncio.Event()

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', 0, limit=1 << 22
        )
        self.address = '127.0.0.1:%d' % (
            self._server.sockets[0].getsockname()[1]
        )
        self._ender = asyncio.create_task(self._end_leases())

    def put(self, key, value, lease=0):
        """Write a key; the return of this call is the ack."""
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        self.revision += 1
        created = self.items.get(key, {}).get('create_rev', self.revision)
        item = {
            'key': key,
            'value': base64.b64encode(value).decode(),
            'revision': self.revision,
            'create_rev': created,
            'lease': lease,
        }
        self.items[key] = item
        self._note(item)

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._note(
                {'key': key, 'revision': self.revision, 'removed': True}
            )

    def _note(self, event):
        self.history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _end_leases(self):
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for lease in [k for k, v in self.leases.items() if v[0] < now]:
                self._end(lease)

    def _end(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, i in self.items.items() if i['lease'] == lease]:
            self.remove(key)

    async def _serve(self, reader, writer):
        try:
            while True:
                request = await read_http(reader)
                if request is None:
                    return
                method, target, headers, body = request
                await asyncio.sleep(0.002)
                status, answer = await self._dispatch(method, target, body)
                write_http(writer, status, answer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _dispatch(self, method, target, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        path = url.path
        if path == '/v1/kv-key':
            item = self.items.get(query['key'])
            return (200, item) if item else (404, None)
        if path == '/v1/kv-range':
            keys = sorted(
                k
                for k in self.items
                if k.startswith(query.get('prefix', ''))
                and k > query.get('after', '')
            )
            return 200, {
                'items': [self.items[k] for k in keys[:500]],
                'has_more': len(keys) > 500,
                'store_revision': self.revision,
            }
        if path == '/v1/kv-watch':
            return await self._watch(query)
        if path == '/v1/kv-txn':
            return self._transact(body)
        if path == '/v1/kv-lease':
            self._lease += 1
            ttl_ms = body['ttl_ms']
            self.leases[self._lease] = [
                time.monotonic() + ttl_ms / 1000,
                ttl_ms,
            ]
            return 200, {'lease': self._lease, 'ttl_ms': ttl_ms}
        lease = int(path.rpartition('/')[2])
        if lease not in self.leases:
            return 404, None
        if path.startswith('/v1/kv-lease-end/'):
            self._end(lease)
            return 200, {}
        ttl_ms = self.leases[lease][1]
        self.leases[lease][0] = time.monotonic() + ttl_ms / 1000
        return 200, {'ttl_ms': ttl_ms}

    async def _watch(self, query):
        after, prefix = int(query['after']), query.get('prefix', '')
        deadline = time.monotonic() + int(query['wait_ms']) / 1000
        while True:
            events = [
                e
                for e in self.history
                if e['revision'] > after and e['key'].startswith(prefix)
            ]
            left = deadline - time.monotonic()
            if events or left <= 0:
                return 200, {
                    'events': events,
                    'store_revision': self.revision,
                }
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def _transact(self, body):
        rows = body.get('expected_rev', [])
        current = {r['key']: self.items.get(r['key']) for r in rows}
        for row in rows:
            item = current[row['key']]
            if (item['revision'] if item else 0) != row['revision']:
                return 412, {'items': [i for i in current.values() if i]}
        for put in body.get('puts', []):
            if put.get('lease') and put['lease'] not in self.leases:
                return 404, None
        for put in body.get('puts', []):
            self.put(
                put['key'],
                base64.b64decode(put['value']),
                put.get('lease', 0),
            )
        for key in body.get('deletes', []):
            self.remove(key)
        return 200, {'revision': self.revision}


async def read_http(reader):
    """Return method, target, headers and decoded body, or None at the end."""
    line = await reader.readline()
    if not line:
        return None
    method, target, _ = line.decode().split(' ', 2)
    headers = {}
    while (line := (await reader.readline()).decode().strip()):
        name, _, value = line.partition(':')
        headers[name.lower()] = value.strip()
    data = await reader.readexactly(int(headers.get('content-length', 0)))
    return method, target, headers, json.loads(data) if data else None


def write_http(writer, status, answer):
    data = b'' if answer is None else json.dumps(answer).encode()
    writer.write(
        f'HTTP/1.1 {status} -\r\nContent-Type: application/json\r\n'
        f'Content-Length: {len(data)}\r\n\r\n'.encode()
        + data
    )


class Cloud:
    """The platform's promotion service; fences are checked."""

    def __init__(self, record, services):
        self.record = record
        self.services = services
        self.tokens = {}

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', 0
        )
        self.address = '127.0.0.1:%d' % (
            self._server.sockets[0].getsockname()[1]
        )

    async def _serve(self, reader, writer):
        try:
            while (request := await read_http(reader)) is not None:
                _, target, headers, body = request
                await asyncio.sleep(0.02)
                status = self._promote(headers, body)
                self.record.line(
                    'cloud',
                    f'{target} {json.dumps(body)} by {headers["duty-holder"]}'
                    f' with {headers["fencing-token"]} -> {status}',
                )
                write_http(writer, status, {})
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()

    def _promote(self, headers, body):
        token = int(headers['fencing-token'])
        if token < self.tokens.get(body['service'], 0):
            return 409
        self.tokens[body['service']] = token
        service = self.services[body['service']]
        member = service.members.get(body['id'])
        if member is None or not member.is_running:
            return 409
        if not member.is_primary:
            loop = asyncio.get_running_loop()
            loop.call_later(PROMOTE_S, service.promote, member)
        return 200


def _common(log, other):
    """Return how many records two logs have in common."""
    if len(log) <= len(other) and (not log or log[-1] is other[len(log) - 1]):
        return len(log)
    count = 0
    for mine, theirs in zip(log, other):
        if mine is not theirs:
            break
        count += 1
    return count


class Service:
    """Members of one service and the replication between them."""

    def __init__(self, name, record, store):
        self.name = name
        self.record = record
        self.store = store
        self.members = {}
        self.term = 1
        self.runs = []
        self.sync_replicas = 0
        self.promotions = []

    def add(self, name, zone, is_primary=False, lag_s=0.03):
        member = Member(self, name, zone, is_primary, lag_s)
        self.members[name] = member
        return member

    def commit(self, primary, writes):
        entry = {
            'term': primary.term,
            'number': len(primary.log) + 1,
            'writes': writes,
            'at': time.monotonic(),
        }
        primary.log.append(entry)
        loop = asyncio.get_running_loop()
        for other in self.members.values():
            if other is not primary:
                loop.call_later(RECEIVE_S, self._receive, primary, other)
        return entry

    async def wait_received(self, primary, entry):
        """Return whether a replica received a commit while its term lasted."""
        while primary.is_running and primary.is_primary:
            if primary.term != entry['term']:
                return False
            if any(
                m is not primary and entry in m.log[entry['number'] - 1 :]
                for m in self.members.values()
            ):
                return True
            await asyncio.sleep(0.002)
        return False

    def _receive(self, primary, other):
        if not primary.is_primary or not other.is_running:
            return
        if other.is_deaf or other.held_term > primary.term:
            return
        if other.is_primary:
            return
        common = _common(other.log, primary.log)
        del other.log[common:]
        other.log += primary.log[common:]
        other.term = primary.term

    def promote(self, member):
        if not member.is_running or member.is_primary:
            return
        self.term += 1
        self.record.line(
            'platform',
            f'{member.name} leads {self.name} in term {self.term}, with its '
            f'log to {member.position(len(member.log))}',
        )
        self.promotions.append((self.term, member, tuple(member.log)))
        for other in self.members.values():
            other.is_primary = False
            other.held_term = 0
            # One that is down comes back with its log.
            if other is not member and other.is_running:
                del other.log[_common(other.log, member.log) :]
        member.is_primary = True
        member.term = self.term
        for other in self.members.values():
            if other is not member:
                self._receive(member, other)
            other.publish()


class Member:
    """A database member."""

    def __init__(self, service, name, zone, is_primary, lag_s):
        self.service = service
        self.record = service.record
        self.name = name
        self.zone = zone
        self.is_primary = is_primary
        self.lag_s = lag_s
        self.term = 1
        self.log = []
        self.is_running = False
        self.is_deaf = False
        self.is_draining = False
        self.drain_acked_at = None
        self.held_term = 0
        self.work_s = 0.004
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.port = 0
        self._writers = set()
        self._light = None
        self._shown = 0

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', self.port, limit=1 << 21
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self.is_running = True
        self.held_term = 0
        self._beat = asyncio.create_task(self._run_beat())

    def crash(self):
        """Stop without a word; the log stays."""
        self.is_running = False
        self._beat.cancel()
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()
        self.record.line('trouble', f'{self.name} crashes')
        # The entry is removed after three intervals of silence.
        silent_s = time.monotonic() - self._published_at
        loop = asyncio.get_running_loop()
        loop.call_later(
            max(0.0, 3 * HEARTBEAT_S - silent_s), self._expire, self.sequence
        )

    def _expire(self, sequence):
        if self.sequence == sequence:
            self.service.store.remove(f'servers/{self.name}')

    def go_dark(self):
        """Answer nothing more; connections hang, the log stays."""
        self._light = asyncio.Event()
        self.is_running = False
        self._beat.cancel()
        self.record.line('trouble', f'{self.name} goes dark')
        silent_s = time.monotonic() - self._published_at
        asyncio.get_running_loop().call_later(
            max(0.0, 3 * HEARTBEAT_S - silent_s), self._expire, self.sequence
        )

    def come_back(self):
        """Come back with the log; former connections are gone."""
        self._light.set()
        self._light = None
        for writer in self._writers:
            writer.transport.abort()
        self.is_running = True
        self.is_primary = self.is_primary and self.service.term == self.term
        self._beat = asyncio.create_task(self._run_beat())
        self.record.line(
            'trouble',
            f'{self.name} is back, with its log to '
            f'{self.position(len(self.log))}',
        )

    async def wait_light(self):
        """Wait while the member is dark; return whether it was."""
        if self._light is None:
            return False
        await self._light.wait()
        return True

    def drain(self):
        """Announce the stop; the return of the write is the store's ack."""
        self.is_draining = True
        self.publish()
        self.drain_acked_at = time.monotonic()
        self.record.line('store', f'acked: {self.name} is draining')

    def publish(self):
        if not self.is_running:
            return
        self.sequence += 1
        self._published_at = time.monotonic()
        self.service.store.put(
            f'servers/{self.name}',
            {
                'service': self.service.name,
                'address': f'127.0.0.1:{self.port}',
                'zone': self.zone,
                'config_version': 'v1',
                'capacity': 2,
                'state': 'draining' if self.is_draining else 'ready',
                'warmup_ms': 0,
                'sequence': self.sequence,
                'born': self.born,
                'db_role': 'primary' if self.is_primary else 'replica',
            },
        )

    async def _run_beat(self):
        while True:
            self.publish()
            await asyncio.sleep(HEARTBEAT_S)

    def applied(self):
        """Number of applied records; a primary has applied all."""
        if self.is_primary:
            return len(self.log)
        until = time.monotonic() - self.lag_s
        count = len(self.log)
        while count > self._shown and self.log[count - 1]['at'] > until:
            count -= 1
        self._shown = min(count, len(self.log))
        return self._shown

    def position(self, count=None):
        count = self.applied() if count is None else count
        if not count:
            return '-'
        return f'{self.log[count - 1]["term"]}.{count}'

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        conn = MemberConnection(self, writer)
        try:
            if not await self.wait_light():
                await conn.run(reader)
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


class MemberConnection:
    """One connection to a member, with values, names and a transaction."""

    numbers = 0

    def __init__(self, member, writer):
        MemberConnection.numbers += 1
        self.number = MemberConnection.numbers
        self.member = member
        self.writer = writer
        self.values = {}
        self.prepared = {}
        self.state = 'I'
        self.is_plain = False
        self.begin_term = 0
        self.writes = []

    async def run(self, reader):
        member = self.member
        line = (await reader.readline()).decode('latin-1').rstrip('\r\n')
        fields = line.split(' ')
        await asyncio.sleep(0.005)
        if (
            len(fields) < 3
            or fields[0] != 'START'
            or fields[1] != member.service.name
            or (len(fields) > 3 and fields[3] != member.name)
        ):
            self.writer.write(b'ERR MISROUTED not this one\r\n')
            return
        self.writer.write(f'READY I {member.position()}\r\n'.encode())
        while (line := await reader.readline()):
            text = line.decode('latin-1').removesuffix('\r\n')
            if text == 'BYE':
                return
            if await member.wait_light():
                return
            _, request_id, text = text.split(' ', 2)
            rows, outcome = await self._answer(request_id, text)
            lines = [f'ROW {r}' for r in rows] + [outcome]
            lines.append(f'READY {self.state} {member.position()}')
            data = ''.join(f'{x}\r\n' for x in lines).encode('latin-1')
            if await member.wait_light() or not member.is_running:
                return
            self.writer.write(data)
            await self.writer.drain()

    async def _answer(self, request_id, text):
        member = self.member
        full = text
        if text.startswith('AFTER '):
            _, floor, text = text.split(' ', 2)
            term, _, number = floor.partition('.')
            number = int(number)
            log = member.log
            if member.applied() < number or (
                log[number - 1]['term'] != int(term)
            ):
                return [], f'ERR BEHIND {member.position()}'
        verb, _, rest = text.partition(' ')
        if self.state == 'E' and verb != 'ROLLBACK':
            return [], 'ERR BAD the transaction has failed'
        shape = None
        name = ''
        if verb == 'EXEC':
            name, _, rest = rest.partition(' ')
            found = self.prepared.get(name)
            if found is None:
                member.record.line(
                    member.name, f'c{self.number} {request_id} {full}: NOSTMT'
                )
                member.service.runs.append(
                    {'id': request_id, 'member': member, 'nostmt': True,
                     'text': full, 'at': time.monotonic()}
                )
                return [], f'ERR NOSTMT {name}'
            verb, shape = found
        handler = getattr(self, f'_on_{verb.lower()}', None)
        if handler is None:
            return [], 'ERR BAD unknown'
        if verb in ('READ', 'WRITE', 'COMMIT'):
            return await self._run(
                request_id, full, verb, rest, name, shape, handler
            )
        result = handler(rest)
        if verb in ('PREPARE', 'SET', 'RESET', 'DEMOTE', 'HOLD', 'RESUME'):
            member.record.line(
                member.name,
                f'c{self.number} {request_id} {full}: {result[1]}',
            )
        return result

    async def _run(self, request_id, full, verb, rest, name, shape, handler):
        member = self.member
        run = {
            'id': request_id,
            'member': member,
            'conn': self.number,
            'text': full,
            'verb': verb,
            'rest': rest,
            'name': name,
            'shape': shape,
            'values': dict(self.values),
            'at': time.monotonic(),
            'log': member.applied(),
            'entries': tuple(member.log[: member.applied()]),
            'position': member.position(),
        }
        await asyncio.sleep(member.work_s)
        self.entry = None
        rows, outcome = handler(rest)
        if self.entry is not None and member.service.sync_replicas:
            if not await member.service.wait_received(member, self.entry):
                raise OSError('the commit is not confirmed')
        run['entry'] = self.entry
        run['outcome'] = outcome
        member.service.runs.append(run)
        member.record.line(
            member.name,
            f'c{self.number} {request_id} {full}'
            + (f' (shape {shape!r})' if shape is not None else '')
            + (f' values {run["values"]}' if run['values'] else '')
            + f' at {member.position()}: {outcome}',
        )
        return rows, outcome

    def _done(self):
        return [], f'DONE {self.member.name}.{os.urandom(6).hex()}'

    def _lost(self):
        if self.state != 'I':
            self.state = 'E'
        return [], f'ERR READONLY {self.member.name}'

    def _has_lost_lead(self):
        member = self.member
        return not member.is_primary or member.term != self.begin_term

    def _on_begin(self, rest):
        if self.state != 'I':
            return [], 'ERR BAD a transaction is open'
        if not rest and not self.member.is_primary:
            return [], f'ERR READONLY {self.member.name}'
        self.state = 'T'
        self.is_plain = not rest
        self.begin_term = self.member.term
        self.writes = []
        return [], 'DONE -'

    def _on_rollback(self, rest):
        if self.state == 'I':
            return [], 'ERR BAD no transaction'
        self.state = 'I'
        return [], 'DONE -'

    def _on_commit(self, rest):
        if self.state != 'T':
            return [], 'ERR BAD no transaction'
        if self.writes:
            if self._has_lost_lead():
                return self._lost()
            self.entry = self.member.service.commit(self.member, self.writes)
        self.state = 'I'
        return self._done()

    def _on_read(self, rest):
        if self.state == 'T' and self.is_plain and self._has_lost_lead():
            return self._lost()
        value = '-'
        for entry in self.member.log[: self.member.applied()]:
            for item, data in entry['writes']:
                if item == rest:
                    value = data
        return [value], self._done()[1]

    def _on_write(self, rest):
        item, _, data = rest.partition(' ')
        if self.state == 'T':
            if not self.is_plain or self._has_lost_lead():
                return self._lost()
            self.writes.append((item, data))
            return self._done()
        if not self.member.is_primary:
            return self._lost()
        self.entry = self.member.service.commit(
            self.member, [(item, data)]
        )
        return self._done()

    def _on_set(self, rest):
        name, _, value = rest.partition(' ')
        self.values[name] = value
        return [], 'DONE -'

    def _on_reset(self, rest):
        self.values.clear()
        self.prepared.clear()
        return [], 'DONE -'

    def _on_prepare(self, rest):
        parts = rest.split(' ', 2)
        if len(parts) < 3 or parts[1] not in ('READ', 'WRITE'):
            return [], 'ERR BAD expected PREPARE name READ|WRITE shape'
        self.prepared[parts[0]] = (parts[1], parts[2])
        return [], 'DONE -'

    def _on_forget(self, rest):
        if self.prepared.pop(rest, None) is None:
            return [], f'ERR NOSTMT {rest}'
        return [], 'DONE -'

    def _row(self):
        member = self.member
        role = 'primary' if member.is_primary else 'replica'
        return [
            f'{role} {member.term} {member.position(len(member.log))} '
            f'{member.held_term} {int(1000 * member.lag_s)} 0 1'
        ], 'DONE -'

    def _on_status(self, rest):
        return self._row()

    def _on_hold(self, rest):
        if int(rest) > self.member.term:
            self.member.held_term = int(rest)
        return self._row()

    def _on_resume(self, rest):
        self.member.held_term = 0
        return self._row()

    def _on_demote(self, rest):
        if self.member.is_primary and self.member.term < int(rest):
            self.member.is_primary = False
            self.member.publish()
        return self._row()


class Host:
    """Entry host: the project's own program as a process."""

    def __init__(self, world, name, zone):
        self.world = world
        self.name = name
        self.zone = zone
        self.ip = '127.0.0.1'
        self.front, self.ready, self.peer = free_ports(3)
        self.process = None

    async def start(self):
        world = self.world
        zones = sorted({h.zone for h in world.hosts})
        fields = {
            'node_name': self.name,
            'role': 'entry',
            'machine_class': 'front',
            'serves': 'front',
            'ip': self.ip,
            'zone': self.zone,
            'region': 'here',
            **{f'zones.{z}': 'here' for z in zones},
            'listen_addrs.front': f'{self.ip}:{self.front}',
            'listen_addrs.ready': f'{self.ip}:{self.ready}',
            'port_range': f'{self.peer},{self.peer}',
            'seeds': '',
            'bootstrap': 'true',
            'limits.cpu_share': '0.537',
            'limits.cores': '2',
            'limits.memory_mb': '300',
            'limits.max_fds': '4200',
            'discovery': 'platform',
            'entry': 'virtual_ip',
            'heartbeat_ms': '1200',
            'contracts': 'base,drain,config,cost,recover,sql,platform',
            'fault_tolerance.machines': '1',
            'fault_tolerance.zones': '1',
            'bounds.stable_ms': '4000',
            'bounds.drain_ms': '7000',
            'bounds.grace_s': '6',
            'bounds.config_apply_ms': '3000',
            'bounds.recover_s': '12',
            'bounds.require_fence': 'true',
            'platform.address': world.store.address,
            'platform.form': 'kv',
            'platform.writes_per_s': '400',
            'platform.reads_per_s': '2000',
            'platform.history_s': '20',
            'platform.value_bytes': '1048576',
            'platform.ttl_min_ms': '1000',
            'cloud_api.address': world.cloud.address,
            'cloud_api.duties': 'promote',
            'cloud_api.duty_per_s': '50.0',
        }
        path = world.folder / f'{self.name}.conf'
        path.write_text(''.join(f'{k}={v}\n' for k, v in fields.items()))
        env = {
            k: os.environ[k] for k in ('PATH', 'HOME', 'LANG') if k in os.environ
        }
        env['TREFOILPULLEY_BOOT'] = str(path)
        env['PYTHONPATH'] = 'target/deps'
        self.log = open(world.folder / f'{self.name}.log', 'ab')
        self.process = await asyncio.create_subprocess_exec(
            'python3', '-S', '-m', 'trefoilpulley_platform',
            cwd=ROOT, env=env, stdout=self.log, stderr=self.log,
        )

    def signal(self, number):
        self.world.record.line(
            'trouble', f'{signal.Signals(number).name} to {self.name}'
        )
        self.process.send_signal(number)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(
                self.ip, self.ready
            )
            writer.write(b'GET /v1/readiness HTTP/1.1\r\nHost: x\r\n\r\n')
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b' 200 ' in line
        except (OSError, asyncio.TimeoutError):
            return False

    def events(self, *names):
        """Return the events of some names in the host's log."""
        found = []
        path = self.world.folder / f'{self.name}.log'
        for line in path.read_text(errors='replace').splitlines():
            try:
                event = json.loads(line)
            except ValueError:
                continue
            if event.get('event') in names:
                found.append(event)
        return found

    def kill(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()


class Answer:
    """Answer to a request of a client."""

    def __init__(self, rows, outcome, ready, at):
        self.rows = rows
        self.outcome = outcome
        self.ready = ready
        self.at = at

    @property
    def is_done(self):
        return self.outcome.startswith('DONE')

    @property
    def code(self):
        words = self.outcome.split(' ')
        return words[1] if words[0] == 'ERR' else words[0]


class Client:
    """Session of a client."""

    count = 0

    def __init__(self, world, host, database):
        Client.count += 1
        self.world = world
        self.host = host
        self.database = database
        self.name = f'client-{Client.count}'

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(
            self.host.ip, self.host.front, limit=1 << 21
        )
        self.world.writers.append(self.writer)
        self.writer.write(f'START {self.database} {self.name}\r\n'.encode())
        line = await self._line(3)
        self.world.record.line(
            self.name,
            f'START {self.database} at {self.host.name} -> {line}',
        )
        if not line.startswith('READY'):
            raise CannotRun(f'{self.name}: {line}')
        return self

    async def ask(self, text, timeout_s=10.0):
        """Send a request and return its answer."""
        request_id = os.urandom(8).hex()
        world = self.world
        sent_at = time.monotonic()
        self.last_id = request_id
        world.sent[request_id] = (self, text, sent_at)
        world.record.line(self.name, f'QUERY {request_id} {text}')
        self.writer.write(f'QUERY {request_id} {text}\r\n'.encode('latin-1'))
        rows = []
        while True:
            line = await self._line(timeout_s)
            if not line.startswith('ROW '):
                break
            rows.append(line[4:])
        ready = await self._line(timeout_s) if line else ''
        world.record.line(
            self.name, f'-> {request_id} {rows} {line!r} {ready!r}'
        )
        return Answer(rows, line, ready, time.monotonic())

    async def _line(self, timeout_s):
        try:
            line = await asyncio.wait_for(self.reader.readline(), timeout_s)
        except asyncio.TimeoutError:
            return 'ERR NOANSWER'
        except OSError:
            return ''
        return line.decode('latin-1').rstrip('\r\n')

    def close(self):
        self.writer.close()


class World:
    """The stand-ins and the hosts of one case."""

    def __init__(self, record_path):
        self.record = Record(record_path)
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        self.services = {}
        self.hosts = []
        self.sent = {}
        self.version = 0
        self.writers = []

    async def start_platform(self):
        self.store = Store(self.record)
        await self.store.start()
        self.cloud = Cloud(self.record, self.services)
        await self.cloud.start()

    def service(self, name):
        self.services[name] = Service(name, self.record, self.store)
        return self.services[name]

    def configure(self, routes, max_conns=16):
        """Write a configuration; the return is the store's ack."""
        self.version += 3
        self.store.put(
            'op/config',
            {
                'config_version': self.version,
                'routes': [
                    {
                        'name': f'r-{host}',
                        'host': host,
                        'route_type': kind,
                        'service': service,
                        'timeout_ms': 1500 if kind == 'bounded' else 800,
                        'goal_ms': 400 if kind == 'bounded' else 200,
                        'priority': 1,
                        'max_staleness_ms': (
                            1500 if kind == 'bounded' else 2500
                        ),
                    }
                    for host, (kind, service) in routes.items()
                ],
                'services': [
                    {
                        'name': n,
                        'max_conns': max_conns,
                        'sync_replicas': s.sync_replicas,
                    }
                    for n, s in self.services.items()
                ],
                'limits': {'tx_idle_ms': 3000},
            },
        )
        self.record.line('operator', f'version {self.version}: {routes}: ack')

    async def start_hosts(self, *zones):
        self.hosts += [
            Host(self, f'front-{z}-{i}', z) for i, z in enumerate(zones, 1)
        ]
        for host in self.hosts:
            await host.start()
        deadline = time.monotonic() + 40
        for host in self.hosts:
            while not await host.is_ready():
                if time.monotonic() > deadline:
                    raise CannotRun(f'{host.name} is not ready')
                if host.process.returncode is not None:
                    # A port was taken meanwhile.
                    host.front, host.ready, host.peer = free_ports(3)
                    await host.start()
                await asyncio.sleep(0.1)
        self.record.line('script', 'all hosts are ready')

    def client(self, host, database):
        return Client(self, host, database)

    async def stop(self):
        for writer in self.writers:
            writer.close()
        for host in self.hosts:
            host.kill()
        for host in self.hosts:
            if host.process is not None:
                await host.process.wait()
        if os.environ.get('KEEP'):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def main(script, record):
    """Run a case, write its record.txt, and exit with its result."""

    async def run():
        world = World(record)
        world.record.line('script', f'TROUBLE={int(TROUBLE)}')
        try:
            if not (ROOT / 'target/deps/trefoilpulley_platform').is_dir():
                raise CannotRun('target/deps is missing: build first')
            await world.start_platform()
            broken = await asyncio.wait_for(script(world), 110)
            result = BROKEN if broken else HELD
            for line in broken or ['the rule held']:
                world.record.line('result', line)
                print(line)
        except (CannotRun, OSError, asyncio.TimeoutError) as exc:
            world.record.line('result', f'could not run: {exc!r}')
            print(f'could not run: {exc!r}')
            result = NOT_RUN
        finally:
            await world.stop()
        return result

    sys.exit(asyncio.run(run()))
