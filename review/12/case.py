"""A zone is cut off while the planned change to a primary in it is under way."""

from gevent import monkey

monkey.patch_all()

import base64
import json
from pathlib import Path
import re
import sys
import time

import gevent
from gevent.pywsgi import WSGIServer

from trefoilpulley_emulator.kv_server import KvServer

import lab_3
from lab_3 import CannotRun
from lab_3 import Host
from lab_3 import Lab
from lab_3 import Link
from lab_3 import make_configuration
from lab_3 import Record
from lab_3 import run_case

MEMBER_ZONES = ('north', 'south', 'east')
HOST_ZONES = ('north', 'north', 'east', 'east', 'south')
CUT_ZONE = 'south'
CUT_MEMBER = 'ledger-1'
CUT_AFTER_ORDER_S = 0.05
CUT_S = 5.5
BEAT_S = 1.2


class ZonedStore(KvServer):
    """Store that tells each side of a cut the addresses of links to the other.

    The host in the zone that can be cut off uses a port of its own.
    """

    def __init__(self) -> None:
        super().__init__()
        self.zone_server = WSGIServer(('127.0.0.1', 0), self._serve, log=None)
        self.ports_for_zone: dict[int, int] = {}
        """Port of a link by the port that it stands for, for the zone."""

        self.ports_for_others: dict[int, int] = {}
        """The same for all others."""

    def _serve(self, environ, start_response):
        is_zone = int(environ['SERVER_PORT']) == self.zone_server.server_port
        ports = self.ports_for_zone if is_zone else self.ports_for_others
        started = []
        content = b''.join(
            super()._serve(environ, lambda *args: started.append(args))
        )
        status, headers = started[0]
        if content:
            answer = json.loads(content)
            for item in [
                answer,
                *answer.get('items', ()),
                *answer.get('events', ()),
            ]:
                if item.get('value'):
                    item['value'] = _rename(item['value'], ports)
            content = json.dumps(answer).encode()
        kept = [h for h in headers if h[0] == 'Content-Type']
        start_response(status, [*kept, ('Content-Length', str(len(content)))])
        return (content,)


def _rename(value: str, ports: dict[int, int]) -> str:
    text = base64.b64decode(value).decode()
    text = re.sub(
        r'(?<=[:\s])\d{4,5}\b',
        lambda m: str(ports.get(int(m[0]), m[0])),
        text,
    )
    return base64.b64encode(text.encode()).decode()


class Client:
    """Client with one session, which writes or reads all the time."""

    def __init__(self, record: Record, host: Host, name: str) -> None:
        self._record = record
        self._host = host
        self._name = name
        self.acknowledged: dict[str, float] = {}
        """Time at which each write was answered with success."""

        self.reads: dict[str, float] = {}
        """Time at which each read was sent that was answered with success."""

        self.is_stopping = False

    def run(self, is_writer: bool) -> None:
        """Work until told to stop."""
        caller = None
        number = 0
        while not self.is_stopping:
            gevent.sleep(0.05)
            number += 1
            data = f'{self._name}.{number}'
            text = f'WRITE i{number % 50} {data}' if is_writer else 'READ i1'
            try:
                if caller is None:
                    caller = self._host.connect('filings')
                sent_at = time.monotonic()
                request = caller.send(text)
                answer = caller.read_answer()
            except OSError as exc:
                self._record.write(f'{data}: {exc!r}')
                caller = None
                continue
            self._record.write(
                f'{data} {request} {text.split()[0]} at {self._host.name}, '
                f'sent {sent_at - self._record.began_at:.3f}: {answer.code} '
                f'{answer.signature}'
            )
            if answer.code == 'DONE' and is_writer:
                self.acknowledged[data] = time.monotonic()
            elif answer.code == 'DONE':
                self.reads[request] = sent_at
            if not answer.code:
                caller = None


class ZoneLab(Lab):
    """Deployment of which one zone can be cut off as a whole."""

    def __init__(self, record: Record) -> None:
        super().__init__(record, zones=MEMBER_ZONES)
        self.store.zone_server.start()
        self.cut_links: list[Link] = []
        self.is_cut = False
        self._follow = self.group.log._follow
        self.group.log._follow = self._follow_unless_cut
        self._promote = self.group.log.promote
        self.group.promote = self._promote_and_publish
        store, promotions = self.store, self.promotions.address
        self._zone_store = self._link(store.zone_server.server_port)
        self._zone_promotions = self._link(int(promotions.split(':')[1]))
        for member, server in self.group.servers.items():
            is_zone = member == CUT_MEMBER
            ports = store.ports_for_others if is_zone else store.ports_for_zone
            ports[server.port] = self._link(server.port)

    def add_zoned_hosts(self) -> None:
        """Start the hosts, with links between the zone and the others."""
        for number, zone in enumerate(HOST_ZONES):
            is_zone = zone == CUT_ZONE
            host = Host(
                f'front-{number}',
                zone,
                self.directory,
                f'127.0.0.1:{self._zone_store}'
                if is_zone
                else self.store.address,
                f'127.0.0.1:{self._zone_promotions}'
                if is_zone
                else self.promotions.address,
                {},
            )
            ports = (
                self.store.ports_for_others
                if is_zone
                else self.store.ports_for_zone
            )
            ports[host.peer_port] = self._link(host.peer_port)
            self.hosts.append(host)
            host.start()

    def set_cut(self, is_cut: bool) -> None:
        """Cut the zone off from the others, the store and the service."""
        self.is_cut = is_cut
        for link in self.cut_links:
            if is_cut:
                link.cut()
            else:
                link.heal()
        if not is_cut:
            log = self.group.log
            log.replicate(log.primary)
            for member in self.group.servers:
                self.group.publish_member(member)

    def stop(self) -> None:
        """End everything."""
        super().stop()
        for link in self.cut_links:
            link.stop()
        self.store.zone_server.stop(timeout=0)

    def _link(self, port: int) -> int:
        link = Link(port)
        link.start()
        self.cut_links.append(link)
        return link.port

    def _follow_unless_cut(self, other, primary) -> None:
        is_crossing = (other.member == CUT_MEMBER) != (
            primary.member == CUT_MEMBER
        )
        if not (self.is_cut and is_crossing):
            self._follow(other, primary)

    def _promote_and_publish(self, member: str) -> None:
        state = self.group.log.members[member]
        was_primary = state.is_primary
        if not self._promote(member):
            return
        if not was_primary:
            self.record.write(
                f'{member} leads term {state.term} with {len(state.log)} '
                f'commits'
            )
        for name in self.group.servers:
            if not (self.is_cut and name == CUT_MEMBER):
                self.group.publish_member(name)


def play(record, has_trouble):
    lab_3.KvServer = ZonedStore
    lab = ZoneLab(record)
    try:
        return _play(lab, record, has_trouble)
    finally:
        lab.stop()


def _beat(lab):
    """Write the entries again, but not that of a member that is cut off."""
    silent_s = 0.0
    while True:
        gevent.sleep(BEAT_S)
        silent_s = silent_s + BEAT_S if lab.is_cut else 0.0
        for member in lab.group.servers:
            if not (lab.is_cut and member == CUT_MEMBER):
                lab.group.publish_member(member)
        if silent_s > 3 * BEAT_S:
            lab.group.expire(CUT_MEMBER)


def _play(lab, record, has_trouble):
    group, log = lab.group, lab.group.log
    lab.store.put('op/config', make_configuration(7, {'filings': 'primary'}))
    lab.add_zoned_hosts()
    lab.await_ready()
    gevent.spawn(_beat, lab)
    gevent.sleep(4)
    writers = [Client(record, lab.hosts[n % 4], f'w{n}') for n in range(8)]
    readers = [Client(record, lab.hosts[4], f'r{n}') for n in range(4)]
    greenlets = [gevent.spawn(w.run, True) for w in writers]
    greenlets += [gevent.spawn(r.run, False) for r in readers]
    gevent.sleep(3)
    record.write('planned: ledger-0, the primary, reports that it drains')
    group.announce_stop('ledger-0')
    deadline = time.monotonic() + 5
    while not lab.promotions.received:
        if time.monotonic() > deadline:
            raise CannotRun('no change is ordered')
        gevent.sleep(0.005)
    order = lab.promotions.received[0]
    record.write(f'{order.holder} has ordered to promote {order.member}')
    if order.member != CUT_MEMBER:
        raise CannotRun('another member is to be promoted')
    gevent.sleep(CUT_AFTER_ORDER_S)
    cut_at = time.monotonic()
    if has_trouble:
        record.write(f'zone {CUT_ZONE} is cut off for {CUT_S} s')
        lab.set_cut(True)
    gevent.sleep(CUT_S)
    held = {d for r in log.members[CUT_MEMBER].log for _, d in r.writes}
    healed_at = time.monotonic()
    if has_trouble:
        lab.set_cut(False)
        record.write(f'zone {CUT_ZONE} is back')
    gevent.sleep(4)
    for client in (*writers, *readers):
        client.is_stopping = True
    gevent.joinall(greenlets, timeout=5)
    kept = {d for r in log.primary.log for _, d in r.writes}
    acknowledged = {
        data: at for w in writers for data, at in w.acknowledged.items()
    }
    missing = {
        d: at for d, at in acknowledged.items() if d in kept and d not in held
    }
    record.write(
        f'{len(acknowledged)} writes acknowledged, {len(kept)} in force at the '
        f'end'
    )
    if not acknowledged or not any(r.reads for r in readers):
        raise CannotRun('no write or no read was served')
    sent = {q: at for r in readers for q, at in r.reads.items()}
    breaks = []
    for run in group.servers[CUT_MEMBER].runs:
        sent_at = sent.get(run.request_id)
        if sent_at is None or not cut_at < run.at < healed_at:
            continue
        lacking = [d for d, at in missing.items() if at < sent_at]
        if lacking:
            breaks.append(
                f'STALE: {run.request_id}, sent '
                f'{sent_at - record.began_at:.3f}, ran at {CUT_MEMBER} without '
                f'{len(lacking)} commits that had been acknowledged and are '
                f'in force at the end, as {lacking[0]}, acknowledged '
                f'{missing[lacking[0]] - record.began_at:.3f}'
            )
    return breaks


sys.exit(run_case(play, Path(__file__).with_name('record.txt')))
