"""Steps on the soak and its verdicts."""

from __future__ import annotations

import shutil
import time
from typing import Any

from behave import given
from behave import then
from behave import when

from trefoilpulley_emulator.member_log import GroupLog
from trefoilpulley_emulator.member_log import Record
from trefoilpulley_emulator.soak.faults import draw_faults
from trefoilpulley_emulator.soak.promises import FaultInterval
from trefoilpulley_emulator.soak.promises import History
from trefoilpulley_emulator.soak.promises import InterruptedRequest
from trefoilpulley_emulator.soak.promises import ObservedRead
from trefoilpulley_emulator.soak.promises import ObservedWrite
from trefoilpulley_emulator.soak.promises import Outcome
from trefoilpulley_emulator.soak.soak import Soak

ONE = Record(1, (('a', 'a.1'),), 0.0)
"""Commit of the first write to an item."""

WRITE_OF_ONE = (('a', 1),)


class VerdictSteps:
    """Steps on what a soak says of things seen."""

    @staticmethod
    @given('a soak in which an acknowledged write is missing')
    def miss(context: Any) -> None:
        """Acknowledge what no log holds."""
        VerdictSteps._judge(context, [], [VerdictSteps._write(Outcome.DONE)])

    @staticmethod
    @given('a soak in which a write took effect twice')
    def double(context: Any) -> None:
        """Let the log hold a write twice."""
        VerdictSteps._judge(
            context, [ONE, ONE], [VerdictSteps._write(Outcome.UNKNOWN)]
        )

    @staticmethod
    @given('a soak in which a write that was told as not run took effect')
    def lie(context: Any) -> None:
        """Commit what was told as not run."""
        VerdictSteps._judge(
            context, [ONE], [VerdictSteps._write(Outcome.NOT_RUN)]
        )

    @staticmethod
    @given('a soak in which half of a transaction took effect')
    def halve(context: Any) -> None:
        """Commit one of two writes."""
        both = ObservedWrite((('a', 1), ('b', 2)), 1.0, Outcome.UNKNOWN)
        VerdictSteps._judge(context, [ONE], [both])

    @staticmethod
    @given(
        'a soak in which a read of the present missed an acknowledged write'
    )
    def read_old(context: Any) -> None:
        """Answer a read of the present with what was before."""
        VerdictSteps._judge(
            context,
            [ONE],
            [VerdictSteps._write(Outcome.DONE)],
            read=ObservedRead('filings', 'a', '-', 1.1),
        )

    @staticmethod
    @given('a soak in which a session missed its own write')
    def forget(context: Any) -> None:
        """Answer a session with what was before its own write."""
        VerdictSteps._judge(
            context,
            [ONE],
            [VerdictSteps._write(Outcome.DONE)],
            read=ObservedRead('orders', 'a', '-', 1.1, 1),
        )

    @staticmethod
    @given('a soak in which a read was answered with the data of another item')
    def mix(context: Any) -> None:
        """Answer with what another caller asked for."""
        VerdictSteps._judge(
            context, [], [], read=ObservedRead('orders', 'a', 'b.1', 1.1)
        )

    @staticmethod
    @given('a soak in which a planned stop cut a write that a member had seen')
    def cut_write(context: Any) -> None:
        """Cut a request that was passed on."""
        VerdictSteps._judge(
            context,
            [],
            [],
            interrupted=InterruptedRequest('h', 'WRITE a a.1', 9.99, 10.0),
        )

    @staticmethod
    @given('a soak in which a planned stop cut a read that had waited for 1 s')
    def cut_read(context: Any) -> None:
        """Cut a request that had been read for long."""
        VerdictSteps._judge(
            context,
            [],
            [],
            interrupted=InterruptedRequest('h', 'READ a', 9.0, 10.0),
        )

    @staticmethod
    @given('a soak in which a planned stop met a request that was on its way')
    def cross(context: Any) -> None:
        """Close a session just as its next request leaves."""
        VerdictSteps._judge(
            context,
            [],
            [],
            interrupted=InterruptedRequest('h', 'READ a', 9.999, 10.0),
        )

    @staticmethod
    @given('a soak in which a host was stopped while a link was cut')
    def cut_disturbed(context: Any) -> None:
        """Cut a request during a fault that was not planned."""
        VerdictSteps._judge(
            context,
            [],
            [],
            interrupted=InterruptedRequest('h', 'READ a', 9.0, 10.0),
            fault=FaultInterval(8.0, 9.5),
        )

    @staticmethod
    @given('a soak in which a promotion rolled an acknowledged write back')
    def roll_back(context: Any) -> None:
        """Lose a commit in a way that is allowed."""
        VerdictSteps._judge(
            context, [], [VerdictSteps._write(Outcome.DONE)], rolled_back=[ONE]
        )

    @staticmethod
    @given('a soak in which a read of the past is as old as its route accepts')
    def read_past(context: Any) -> None:
        """Answer with what was in force within the age of the route."""
        VerdictSteps._judge(
            context,
            [ONE],
            [VerdictSteps._write(Outcome.DONE)],
            read=ObservedRead('lookups', 'a', '-', 3.4),
        )

    @staticmethod
    @then('it says that "{guarantee}" was broken')
    def check_broken(context: Any, guarantee: str) -> None:
        """Check that this promise and no other is named."""
        found = {b.guarantee for b in context.found}
        assert found == {guarantee}, context.found

    @staticmethod
    @then('it says that no promise was broken')
    def check_kept(context: Any) -> None:
        """Check that nothing is named; logs stay where something is."""
        assert not context.found, context.found

    @staticmethod
    def _write(outcome: Outcome) -> ObservedWrite:
        return ObservedWrite(WRITE_OF_ONE, 1.0, outcome)

    @staticmethod
    def _judge(
        context: Any,
        log: list[Record],
        observed_writes: list[ObservedWrite],
        rolled_back: list[Record] | None = None,
        read: ObservedRead | None = None,
        interrupted: InterruptedRequest | None = None,
        fault: FaultInterval | None = None,
    ) -> None:
        history = History()
        history.observed_writes = observed_writes
        history.observed_reads = [read] if read else []
        history.interrupted_requests = [interrupted] if interrupted else []
        history.planned_stops = [FaultInterval(8.0, 12.0, 'h')]
        history.unplanned_faults = [fault] if fault else []
        context.found = history.find_violations(
            log, rolled_back or [], {'WRITE a a.1'}
        )


class SoakSteps:
    """Steps on the soak itself."""

    @staticmethod
    @then(
        'the faults of seed {seed:d} are the same twice, and others of seed '
        '{other:d}'
    )
    def check_drawn(context: Any, seed: int, other: int) -> None:
        """Draw some times."""
        hosts, members = ('h0', 'h1'), ('m0', 'm1')
        one = draw_faults(seed, hosts, members, 6.0)
        assert one == draw_faults(seed, hosts, members, 6.0)
        assert one != draw_faults(other, hosts, members, 6.0)

    @staticmethod
    @given('a replica that has applied {count:d} commits')
    def make_replica(context: Any, count: int) -> None:
        """Commit at a primary without lag."""
        log = GroupLog(('p', 'r'))
        for number in range(count):
            data = (('a', f'a.{number}'),)
            log.commit(log.members['p'], data)
        context.replica = log.members['r']
        # What is applied at once is applied when it is looked at.
        context.newest = f'a.{count - 1}'
        while context.replica.read('a') != context.newest:
            time.sleep(0)

    @staticmethod
    @when('its lag grows to {lag:d} s')
    def fall_behind(context: Any, lag: int) -> None:
        """Let the replica fall behind."""
        context.replica.lag_s = float(lag)

    @staticmethod
    @then('it still shows the newest of them')
    def check_shown(context: Any) -> None:
        """Check that it did not go back."""
        assert context.replica.read('a') == context.newest

    @staticmethod
    @when(
        'the soak plays seed {seed:d} with {hosts:d} hosts, {connections:d} '
        'connections and {length:d} s'
    )
    def play(
        context: Any, seed: int, hosts: int, connections: int, length: int
    ) -> None:
        """Play one seed with real processes."""
        soak = Soak(seed, hosts, float(length), connections)
        context.found = soak.run()
        if not context.found:
            shutil.rmtree(soak.directory)
