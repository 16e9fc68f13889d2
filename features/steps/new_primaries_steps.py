"""Steps for new primaries that are cut off with their zone."""

from __future__ import annotations

from dataclasses import dataclass
import time
from typing import Any
from typing import TYPE_CHECKING

from behave import given
from behave import then
from behave import when
import gevent

from features.fakes.asking import execute_once
from features.fakes.asking import wait_until
from trefoilpulley_emulator.deployment import EmulatedDeployment
from trefoilpulley_emulator.deployment import ZONES

if TYPE_CHECKING:
    from collections.abc import Iterator

CUT_MEMBER = 'ledger-1'
"""Member in the zone that can be cut off."""

PAUSE_S = 0.03
"""Pause between two statements of a caller, in seconds."""

AFTER_CUT_S = 2.0
"""Time after a cut in which the callers go on, in seconds."""


@dataclass(frozen=True, slots=True)
class _Numbered:
    """Write or read of a numbered datum, with its time."""

    number: int
    """Number that was written or read."""

    at: float
    """Time of the acknowledgement, or of the read's first byte."""


class CutZoneSteps:
    """Steps on a zone that is cut off with the member to promote."""

    @staticmethod
    @given(
        'a deployment whose zone "{zone}" can be cut off, and promotions that '
        'take {promotion_s:f} s'
    )
    def start(context: Any, zone: str, promotion_s: float) -> None:
        """Start a deployment and wait until every host serves reads."""
        context.deployment = EmulatedDeployment(3, cut_zone=zone)
        context.deployment.promotion_server.delay_s = promotion_s
        context.cleanups.append(context.deployment.stop)
        context.deployment.start()
        for host in range(len(ZONES)):
            wait_until(
                lambda host=host: (
                    execute_once(context, 'filings', host, 'READ k').code
                    == 'DONE'
                )
            )

    @staticmethod
    @when(
        'callers write in the zone "{writing}" and read in the zone '
        '"{reading}"'
    )
    def run_callers(context: Any, writing: str, reading: str) -> None:
        """Write increasing numbers in one zone and read them in another."""
        context.is_stopping = False
        context.writes, context.reads = [], []
        writer, reader = ZONES.index(writing), ZONES.index(reading)

        def write() -> None:
            for number in _count(context):
                text = f'WRITE k {number}'
                if execute_once(context, 'orders', writer, text).code == (
                    'DONE'
                ):
                    acknowledged = _Numbered(number, time.monotonic())
                    context.writes.append(acknowledged)

        def read() -> None:
            began_at = time.monotonic()
            answer = execute_once(context, 'filings', reader, 'READ k')
            if answer.code == 'DONE' and answer.rows != ('-',):
                number = int(answer.rows[0])
                context.reads.append(_Numbered(number, began_at))

        def spawn_reads() -> None:
            # A read that the cut holds up must not keep the others back.
            reads = [gevent.spawn(read) for _ in _count(context)]
            gevent.joinall(reads, raise_error=True)

        context.callers = [gevent.spawn(write), gevent.spawn(spawn_reads)]
        wait_until(lambda: len(context.writes) > 3 and context.reads)

    @staticmethod
    @when('the primary announces its stop')
    def announce_stop(context: Any) -> None:
        """Begin a planned change to the member that can be cut off."""
        group = context.deployment.group
        group.announce_stop('ledger-2')
        group.announce_stop('ledger-0')

    @staticmethod
    @when('the primary crashes and is back')
    def crash(context: Any) -> None:
        """Crash the primary with commits of its own; it is back meanwhile."""
        group = context.deployment.group
        for member in (CUT_MEMBER, 'ledger-2'):
            group.servers[member].state.is_deaf = True
        # The member that is not to be promoted is further behind.
        group.servers['ledger-2'].state.log.pop()
        acknowledged = len(context.writes)
        wait_until(lambda: len(context.writes) > acknowledged + 5)
        group.crash('ledger-0')

        def come_back() -> None:
            wait_until(lambda: group.log.primary.member == CUT_MEMBER)
            group.servers['ledger-0'].start()
            group.publish_member('ledger-0')

        context.comeback = gevent.spawn(come_back)

    @staticmethod
    @when(
        'the zone is cut off {cut_ms:d} ms after the order to promote its '
        'member, for {cut_s:d} s'
    )
    def cut(context: Any, cut_ms: int, cut_s: int) -> None:
        """Cut the zone off while the change is under way."""
        server = context.deployment.promotion_server
        wait_until(lambda: server.received)
        assert server.received[0].member == CUT_MEMBER, server.received
        ordered_at = server.received[0].at
        gevent.sleep(max(0.0, ordered_at + cut_ms / 1000 - time.monotonic()))
        CutZoneSteps._cut_off(context, cut_s)

    @staticmethod
    @when(
        'the zone is cut off once its member is known to have the whole log, '
        'for {cut_s:d} s'
    )
    def cut_complete(context: Any, cut_s: int) -> None:
        """Cut the zone off before its member leads."""
        claims = context.deployment.hosts[ZONES.index('south')].proxy
        wait_until(lambda: claims.find_leader('ledger') == CUT_MEMBER)
        assert not context.deployment.group.servers[
            CUT_MEMBER
        ].state.is_primary
        CutZoneSteps._cut_off(context, cut_s)

    @staticmethod
    def _cut_off(context: Any, cut_s: int) -> None:
        context.cut_at = time.monotonic()
        context.deployment.zone_cut.set_cut(True)
        gevent.sleep(cut_s)
        context.deployment.zone_cut.set_cut(False)
        context.healed_at = time.monotonic()
        gevent.sleep(AFTER_CUT_S)
        context.is_stopping = True
        gevent.joinall(context.callers, raise_error=True)

    @staticmethod
    @then('the zone has read while it was cut off')
    def check_served(context: Any) -> None:
        """Look for reads that began during the cut."""
        during = [
            r
            for r in context.reads
            if context.cut_at < r.at < (context.healed_at)
        ]
        assert during, context.reads

    @staticmethod
    @then(
        'every read had the commits acknowledged before it that are in force '
        'at the end'
    )
    def check_reads(context: Any) -> None:
        """Compare each read with the newest of these commits."""
        log = context.deployment.group.log.primary.log
        kept = {int(d) for r in log for _, d in r.writes}
        missed = [
            (read, write)
            for read in context.reads
            for write in context.writes
            if write.at < read.at
            and write.number > read.number
            and write.number in kept
        ]
        assert not missed, missed[:3]


def _count(context: Any) -> Iterator[int]:
    """Count, with a pause each time, until the callers have to stop."""
    number = 0
    while not context.is_stopping:
        number += 1
        yield number
        gevent.sleep(PAUSE_S)
