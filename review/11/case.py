"""A zone is cut off for a moment while a release of a service is under way."""

from gevent import monkey

monkey.patch_all()

from pathlib import Path
import sys
import time

import gevent

from lab_3 import CannotRun
from lab_3 import Host
from lab_3 import Lab
from lab_3 import make_configuration
from lab_3 import Record
from lab_3 import run_case

PROMOTIONS = 'promotions'
MEMBER_ZONES = ('south', 'north', 'east')
"""Zones of ledger-0, the first primary, and of ledger-1 and ledger-2."""

HOST_ZONES = ('south', 'east')
"""Zones of the hosts; the one that is cut off has none here."""

CUT_S = 1.3
DRAIN_S = 7.4
"""Time from the report of a member that it is draining to its end."""

CUT_BEFORE_END_S = 1.1
TIMEOUT_MS = 1500


class Writer:
    """Client that records one filing after the other."""

    def __init__(self, record: Record, host: Host, name: str) -> None:
        self._record = record
        self._host = host
        self._name = name
        self.acknowledged: list[str] = []
        self.is_stopping = False

    def run(self) -> None:
        """Write until told to stop."""
        caller = None
        number = 0
        while not self.is_stopping:
            gevent.sleep(0.1)
            number += 1
            data = f'{self._name}.{number}'
            try:
                if caller is None:
                    caller = self._host.connect('filings')
                sent_at = self._record.now()
                answer = caller.execute(f'WRITE i{number % 50} {data}')
            except OSError as exc:
                self._record.write(f'{data}: {exc!r}')
                caller = None
                continue
            self._record.write(
                f'{data} sent {sent_at:.3f}: {answer.code} {answer.signature}'
            )
            if answer.code == 'DONE':
                self.acknowledged.append(data)
            if not answer.code:
                caller = None


def play(record, has_trouble):
    lab = Lab(record, zones=MEMBER_ZONES, has_links=True)
    try:
        return _play(lab, record, has_trouble)
    finally:
        lab.stop()


def _play(lab, record, has_trouble):
    group, log = lab.group, lab.group.log
    log.synchronous_replicas = 1
    lab.store.put(
        'op/config',
        make_configuration(
            7,
            {'filings': 'primary'},
            synchronous_replicas=1,
            timeout_ms=TIMEOUT_MS,
        ),
    )
    lab.add_hosts(4, HOST_ZONES)
    lab.await_ready()
    gevent.sleep(4)
    writers = [Writer(record, lab.hosts[n % 4], f'w{n}') for n in range(12)]
    greenlets = [gevent.spawn(w.run) for w in writers]
    breaks: list[str] = []

    def promote(member: str) -> None:
        state = log.members[member]
        if state.is_running and not state.is_primary:
            held = {data for r in state.log for _, data in r.writes}
            missing = [
                d for w in writers for d in w.acknowledged if d not in held
            ]
            record.write(
                f'{member} is promoted, with {len(state.log)} commits; '
                f'{len(missing)} acknowledged ones are not in its log'
            )
            breaks.extend(
                f'LOST: {d} was acknowledged and is not in the log of '
                f'{member}, which is promoted'
                for d in missing
            )
        original(member)

    original = group.promote
    group.promote = promote
    gevent.sleep(2)
    record.write('planned: ledger-0, the primary, reports that it drains')
    group.announce_stop('ledger-0')
    end_at = time.monotonic() + DRAIN_S
    gevent.sleep(DRAIN_S - CUT_BEFORE_END_S)
    if not log.members['ledger-1'].is_primary:
        raise CannotRun('ledger-1 does not lead after the planned change')
    cut_at = time.monotonic()
    if has_trouble:
        record.write(
            f'zone north is cut off for {CUT_S} s, with ledger-1, the '
            f'primary, and the promotion service'
        )
        set_cut(lab, True)
    gevent.sleep(max(0.0, end_at - time.monotonic()))
    record.write('planned: ledger-0 ends, ledger-3 takes its place')
    replace(lab, 'ledger-0', 'ledger-3', is_deaf=has_trouble)
    gevent.sleep(max(0.0, cut_at + CUT_S - time.monotonic()))
    if has_trouble:
        set_cut(lab, False)
        record.write('zone north is back')
    gevent.sleep(8)
    for writer in writers:
        writer.is_stopping = True
    gevent.joinall(greenlets, timeout=5)
    for order in lab.promotions.received:
        record.write(
            f'order to promote {order.member} from {order.holder}, received '
            f'{order.at - record.began_at:.3f}'
        )
    for request in lab.promotions.requests:
        record.write(f'service, member, fence number, status: {request}')
    count = sum(len(w.acknowledged) for w in writers)
    record.write(f'{count} writes acknowledged')
    if not count:
        raise CannotRun('no write is acknowledged')
    return breaks


def set_cut(lab, is_cut):
    """Cut zone north off from the hosts, the members and the store."""
    for name in ('ledger-1', PROMOTIONS):
        if is_cut:
            lab.links[name].cut()
        else:
            lab.links[name].heal()
    for member, state in lab.group.log.members.items():
        state.is_deaf = is_cut and member != 'ledger-1'


def replace(lab, member, successor, is_deaf):
    """End a member; its log goes to a new one at its address."""
    group = lab.group
    port = group.servers[member].port
    lab.links[successor] = lab.links[member]
    group.replace(member, successor)
    group.log.members[successor].is_deaf = is_deaf
    if group.servers[successor].port != port:
        raise CannotRun('the successor has another port')


sys.exit(run_case(play, Path(__file__).with_name('record.txt')))
