"""Steps for the soak test and its checker."""

from __future__ import annotations

import shutil
import time
from typing import Any

from behave import given
from behave import then
from behave import when

from trefoilpulley_emulator.member_log import GroupLog
from trefoilpulley_emulator.member_log import Record
from trefoilpulley_emulator.soak.faults import draw_confirmed
from trefoilpulley_emulator.soak.faults import draw_faults
from trefoilpulley_emulator.soak.faults import draw_restores
from trefoilpulley_emulator.soak.faults import draw_rolls
from trefoilpulley_emulator.soak.faults import draw_silences
from trefoilpulley_emulator.soak.faults import FaultKind
from trefoilpulley_emulator.soak.faults import PLANNED_KINDS
from trefoilpulley_emulator.soak.faults import Profile
from trefoilpulley_emulator.soak.guarantees import FaultInterval
from trefoilpulley_emulator.soak.guarantees import History
from trefoilpulley_emulator.soak.guarantees import InterruptedRequest
from trefoilpulley_emulator.soak.guarantees import ObservedRead
from trefoilpulley_emulator.soak.guarantees import ObservedWrite
from trefoilpulley_emulator.soak.guarantees import Outcome
from trefoilpulley_emulator.soak.monitor import ConfigurationMonitor
from trefoilpulley_emulator.soak.soak import Soak

FIRST_COMMIT = Record(1, (('a', 'a.1'),), 0.0)
"""Log record of the first write to an item."""

RECEIVED_ID = 'q1'
"""Identifier of the request that a member received."""

FIRST_WRITE = (('a', 1),)
"""Item and number of the first write."""


class CheckerSteps:
    """Steps for the violations that the checker finds in a history."""

    @staticmethod
    @given('a soak run in which an acknowledged write is missing')
    def lose_acknowledged_write(context: Any) -> None:
        """Acknowledge a write that is missing in the log."""
        CheckerSteps._run_checker(
            context, [], [CheckerSteps._make_write(Outcome.DONE)]
        )

    @staticmethod
    @given('a soak run in which a write took effect twice')
    def apply_write_twice(context: Any) -> None:
        """Put the record of a write into the log twice."""
        CheckerSteps._run_checker(
            context,
            [FIRST_COMMIT, FIRST_COMMIT],
            [CheckerSteps._make_write(Outcome.UNKNOWN)],
        )

    @staticmethod
    @given(
        'a soak run in which a write that was reported as not run took effect'
    )
    def apply_not_run_write(context: Any) -> None:
        """Commit a write whose caller was told that it did not run."""
        CheckerSteps._run_checker(
            context,
            [FIRST_COMMIT],
            [CheckerSteps._make_write(Outcome.NOT_RUN)],
        )

    @staticmethod
    @given('a soak run in which half of a transaction took effect')
    def apply_half_transaction(context: Any) -> None:
        """Commit one of the two writes of a transaction."""
        both = ObservedWrite((('a', 1), ('b', 2)), 1.0, Outcome.UNKNOWN)
        CheckerSteps._run_checker(context, [FIRST_COMMIT], [both])

    @staticmethod
    @given(
        'a soak run in which a read at primary freshness missed an '
        'acknowledged write'
    )
    def read_stale_at_primary(context: Any) -> None:
        """Answer a read with the data before an acknowledged write."""
        CheckerSteps._run_checker(
            context,
            [FIRST_COMMIT],
            [CheckerSteps._make_write(Outcome.DONE)],
            read=ObservedRead('filings', 'a', '-', 1.1),
        )

    @staticmethod
    @given('a soak run in which a session did not read its own write')
    def miss_own_write(context: Any) -> None:
        """Answer a session with the data before its own write."""
        CheckerSteps._run_checker(
            context,
            [FIRST_COMMIT],
            [CheckerSteps._make_write(Outcome.DONE)],
            read=ObservedRead('orders', 'a', '-', 1.1, 1),
        )

    @staticmethod
    @given(
        'a soak run in which a read was answered with the data of another item'
    )
    def read_other_item(context: Any) -> None:
        """Answer a read with the data of another item."""
        CheckerSteps._run_checker(
            context, [], [], read=ObservedRead('orders', 'a', 'b.1', 1.1)
        )

    @staticmethod
    @given(
        'a soak run in which a planned stop cut a write that a '
        'member had received'
    )
    def cut_received_write(context: Any) -> None:
        """Cut a write that the host had sent to a member."""
        CheckerSteps._run_checker(
            context,
            [],
            [],
            interrupted=InterruptedRequest(
                'h', RECEIVED_ID, 'WRITE a a.1', 9.99, 10.0
            ),
        )

    @staticmethod
    @given(
        'a soak run in which a planned stop cut a read that a '
        'member had received'
    )
    def cut_received_read(context: Any) -> None:
        """Cut a read that the host had sent to a member."""
        CheckerSteps._run_checker(
            context,
            [],
            [],
            interrupted=InterruptedRequest(
                'h', RECEIVED_ID, 'READ a', 9.99, 10.0
            ),
        )

    @staticmethod
    @given(
        'a soak run in which a caller noticed the cut of a received request '
        'only after the exit'
    )
    def notice_cut_after_exit(context: Any) -> None:
        """Report the cut shortly after the end of the stop."""
        CheckerSteps._run_checker(
            context,
            [],
            [],
            interrupted=InterruptedRequest(
                'h', RECEIVED_ID, 'READ a', 11.99, 12.01
            ),
        )

    @staticmethod
    @given(
        'a soak run in which a planned stop cut a request that had reached '
        'its timeout'
    )
    def cut_timed_out_request(context: Any) -> None:
        """Cut a request that had taken longer than its route allows."""
        CheckerSteps._run_checker(
            context,
            [],
            [],
            interrupted=InterruptedRequest(
                'h', RECEIVED_ID, 'READ a', 5.0, 10.0
            ),
        )

    @staticmethod
    @given(
        'a soak run in which a planned stop cut a read that had waited for 1 s'
    )
    def cut_waiting_read(context: Any) -> None:
        """Cut a request that the host must have read long before."""
        CheckerSteps._run_checker(
            context,
            [],
            [],
            interrupted=InterruptedRequest('h', 'q2', 'READ a', 9.0, 10.0),
        )

    @staticmethod
    @given(
        'a soak run in which a planned stop closed a session with a '
        'request in transit'
    )
    def close_with_request_in_transit(context: Any) -> None:
        """Close a session 1 ms after its next request was sent."""
        CheckerSteps._run_checker(
            context,
            [],
            [],
            interrupted=InterruptedRequest('h', 'q2', 'READ a', 9.999, 10.0),
        )

    @staticmethod
    @given(
        'a soak run in which a planned stop cut a request during an '
        'unplanned fault'
    )
    def cut_during_fault(context: Any) -> None:
        """Cut a request of a stopping host during an unplanned fault."""
        CheckerSteps._run_checker(
            context,
            [],
            [],
            interrupted=InterruptedRequest('h', 'q2', 'READ a', 9.0, 10.0),
            fault=FaultInterval(8.0, 9.5),
        )

    @staticmethod
    @given('a soak run in which a promotion rolled back an acknowledged write')
    def roll_back_acknowledged_write(context: Any) -> None:
        """Roll back an acknowledged commit, as a promotion may."""
        CheckerSteps._run_checker(
            context,
            [],
            [CheckerSteps._make_write(Outcome.DONE)],
            rolled_back=[FIRST_COMMIT],
        )

    @staticmethod
    @given(
        'a soak run in which a bounded read returned data within its '
        'maximum age'
    )
    def read_within_max_age(context: Any) -> None:
        """Answer with data that was current within the maximum age."""
        CheckerSteps._run_checker(
            context,
            [FIRST_COMMIT],
            [CheckerSteps._make_write(Outcome.DONE)],
            read=ObservedRead('lookups', 'a', '-', 3.4),
        )

    @staticmethod
    @then('the checker reports a violation of "{guarantee}" alone')
    def check_violation(context: Any, guarantee: str) -> None:
        """Check that only this guarantee was violated."""
        violated = {v.guarantee for v in context.violations}
        assert violated == {guarantee}, context.violations

    @staticmethod
    @then('the checker reports no violation')
    def check_no_violation(context: Any) -> None:
        """Check that no guarantee was violated.

        The logs of a soak run with a violation are kept.
        """
        assert not context.violations, context.violations

    @staticmethod
    def _make_write(outcome: Outcome) -> ObservedWrite:
        return ObservedWrite(FIRST_WRITE, 1.0, outcome)

    @staticmethod
    def _run_checker(
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
        context.violations = history.find_violations(
            log, rolled_back or [], {RECEIVED_ID: 9.995}
        )


class SoakSteps:
    """Steps for the soak test and the emulated replica."""

    @staticmethod
    @then(
        'seed {seed:d} generates the same faults twice and seed {other:d} '
        'generates others'
    )
    def check_faults_by_seed(context: Any, seed: int, other: int) -> None:
        """Compare the faults of two seeds."""
        hosts, members = ('h0', 'h1'), ('m0', 'm1')
        faults = draw_faults(seed, hosts, members, 6.0)
        assert faults == draw_faults(seed, hosts, members, 6.0)
        assert faults != draw_faults(other, hosts, members, 6.0)

    @staticmethod
    @then('seed {seed:d} stops every host in turn, and the same way each time')
    def check_rolls_by_seed(context: Any, seed: int) -> None:
        """Check the planned work of a seed."""
        hosts = ('h0', 'h1', 'h2')
        faults = draw_rolls(seed, hosts, 6.0)
        assert faults == draw_rolls(seed, hosts, 6.0)
        stopped = [f.target for f in faults if f.kind is FaultKind.STOP_HOST]
        assert set(stopped[: len(hosts)]) == set(hosts), faults
        assert {f.kind for f in faults} <= PLANNED_KINDS, faults

    @staticmethod
    @given('a replica that has applied {count:d} commits')
    def make_replica(context: Any, count: int) -> None:
        """Commit to a replica without lag and wait until it has applied."""
        log = GroupLog(('p', 'r'))
        for number in range(count):
            data = (('a', f'a.{number}'),)
            log.commit(log.members['p'], data)
        context.replica = log.members['r']
        # The replica updates its number of applied commits on each read.
        context.newest = f'a.{count - 1}'
        while context.replica.read('a') != context.newest:
            time.sleep(0)

    @staticmethod
    @when('the lag of the replica increases to {lag:d} s')
    def increase_lag(context: Any, lag: int) -> None:
        """Increase the replication lag of the replica."""
        context.replica.lag_s = float(lag)

    @staticmethod
    @then('the replica still returns the newest of the commits')
    def check_newest_commit_kept(context: Any) -> None:
        """Check that the replica still returns the newest data."""
        assert context.replica.read('a') == context.newest

    @staticmethod
    @when(
        'the soak test runs seed {seed:d} with {hosts:d} hosts, '
        '{connections:d} connections and {length:d} s'
    )
    def run_soak(
        context: Any, seed: int, hosts: int, connections: int, length: int
    ) -> None:
        """Run a seed with host processes; keep the logs of a failure."""
        SoakSteps._run(context, Soak(seed, hosts, float(length), connections))

    @staticmethod
    @when(
        'the soak test stops {hosts:d} hosts in turn with seed {seed:d}, '
        '{connections:d} connections and {length:d} s'
    )
    def run_rolls(
        context: Any, hosts: int, seed: int, connections: int, length: int
    ) -> None:
        """Run a seed of planned stops; keep the logs of a failure."""
        SoakSteps._run(
            context,
            Soak(seed, hosts, float(length), connections, Profile.ROLLS),
        )

    @staticmethod
    @then('seed {seed:d} restores the store once, and the same way each time')
    def check_restores_by_seed(context: Any, seed: int) -> None:
        """Check the faults of a seed."""
        hosts, members = ('h0', 'h1'), ('m0', 'm1')
        faults = draw_restores(seed, hosts, members)
        assert faults == draw_restores(seed, hosts, members)
        kinds = [f.kind for f in faults]
        assert kinds.count(FaultKind.RESTORE_STORE) == 1, faults
        assert kinds[-1] in PLANNED_KINDS, faults

    @staticmethod
    @then(
        'seed {seed:d} silences the store after a configuration, and the '
        'same way each time'
    )
    def check_silences_by_seed(context: Any, seed: int) -> None:
        """Check the faults of a seed."""
        faults = draw_silences(seed, ('m0', 'm1'))
        assert faults == draw_silences(seed, ('m0', 'm1'))
        kinds = [
            f.kind for f in faults if f.kind is not FaultKind.CRASH_MEMBER
        ]
        change, silence = (
            FaultKind.CHANGE_CONFIGURATION,
            FaultKind.STORE_SILENT,
        )
        count = kinds.count(silence)
        assert count and kinds == [change, silence, change] * count, faults

    @staticmethod
    @given('a soak run whose hosts have a configuration in force')
    def observe_configuration(context: Any) -> None:
        """Let a monitor observe the database of the newest configuration."""
        context.monitor = ConfigurationMonitor(())
        context.monitor.on_acknowledged(1, 0.0)
        context.monitor.on_greeting('h', 1, 1, 'READY I -', 0.0)

    @staticmethod
    @when('a host refuses the database {when}')
    def refuse_database(context: Any, when: str) -> None:
        """Refuse a database that the newest configuration has."""
        asked_at, pid, number = {
            'of the same configuration': (0.0, 1, 1),
            'after its restart and before the bound': (0.0, 2, 1),
            'of a new configuration before the bound': (0.0, 1, 2),
            'of a new configuration after the bound': (float('inf'), 1, 2),
        }[when]
        if number > 1:
            context.monitor.on_acknowledged(number, 0.0)
        context.monitor.on_greeting('h', pid, number, 'ERR NODB x', asked_at)
        context.violations = context.monitor.violations

    @staticmethod
    @when(
        'the store is restored with seed {seed:d}, {hosts:d} hosts and '
        '{connections:d} connections'
    )
    def run_restores(
        context: Any, seed: int, hosts: int, connections: int
    ) -> None:
        """Run a seed that restores the store; keep the logs of a failure."""
        SoakSteps._run(
            context, Soak(seed, hosts, 0.0, connections, Profile.RESTORES)
        )

    @staticmethod
    @when(
        'the store is silent for moments with seed {seed:d}, {hosts:d} hosts '
        'and {connections:d} connections'
    )
    def run_silences(
        context: Any, seed: int, hosts: int, connections: int
    ) -> None:
        """Run a seed that silences the store; keep the logs of a failure."""
        SoakSteps._run(
            context, Soak(seed, hosts, 0.0, connections, Profile.SILENCES)
        )

    @staticmethod
    @then(
        'seed {seed:d} loses at most one member for good, and the same way '
        'each time'
    )
    def check_losses_by_seed(context: Any, seed: int) -> None:
        """Check the faults of a seed."""
        members = ('m0', 'm1', 'm2')
        faults = draw_confirmed(seed, ('h0', 'h1'), members)
        assert faults == draw_confirmed(seed, ('h0', 'h1'), members)
        kinds = [f.kind for f in faults]
        assert kinds.count(FaultKind.LOSE_MEMBER) <= 1, faults
        crashed = [
            f.target for f in faults if f.kind is FaultKind.CRASH_MEMBER
        ]
        assert 'm0' in crashed, faults

    @staticmethod
    @given('an emulated primary whose commit is confirmed by 1 of 2 replicas')
    def confirm_commit(context: Any) -> None:
        """Commit while one of two replicas receives nothing."""
        log = context.group_log = GroupLog(('p', 'with', 'without'))
        log.synchronous_replicas = 1
        log.members['without'].is_deaf = True
        record = log.commit(log.primary, (('a', 'a.1'),))
        assert log.confirm(log.primary, record)
        log.members['p'].is_running = False

    @staticmethod
    @when('the replica {which} the commit is promoted')
    def promote_replica(context: Any, which: str) -> None:
        """Promote one of the replicas."""
        assert context.group_log.promote(which)

    @staticmethod
    @then('{count:d} confirmed commits are lost')
    def check_lost_commits(context: Any, count: int) -> None:
        """Count the commits that the new primary lacks."""
        lost = context.group_log.lost_commits
        assert sum(map(len, lost.values())) == count, lost

    @staticmethod
    @when(
        'members are lost under faults with seed {seed:d}, {hosts:d} hosts '
        'and {connections:d} connections'
    )
    def run_confirmed(
        context: Any, seed: int, hosts: int, connections: int
    ) -> None:
        """Run a seed with synchronous replicas; keep a failure's logs."""
        SoakSteps._run(
            context, Soak(seed, hosts, 0.0, connections, Profile.CONFIRMED)
        )

    @staticmethod
    def _run(context: Any, soak: Soak) -> None:
        context.violations = soak.run()
        if not context.violations:
            shutil.rmtree(soak.directory)
