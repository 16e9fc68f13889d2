"""Steps for the checker of the demonstration."""

from __future__ import annotations

from dataclasses import replace
import json
from typing import Any

from behave import given
from behave import then

from trefoilpulley_core.declarations import Declarations
from trefoilpulley_core.declarations import Freshness
from trefoilpulley_core.declarations import FreshnessKind
from trefoilpulley_core.declarations import Promptness
from trefoilpulley_core.declarations import Safety
from trefoilpulley_core.declarations import WorkClass
from trefoilpulley_core.declarations import WorkKind
from trefoilpulley_core.failure import NotAuthorized
from trefoilpulley_standins.demo.checker import Checker
from trefoilpulley_standins.demo.checker import MemberRows
from trefoilpulley_standins.demo.checker import StopWindow
from trefoilpulley_standins.demo.checker import StoredRow
from trefoilpulley_standins.demo.journal import Entry
from trefoilpulley_standins.demo.journal import Verdict
from trefoilpulley_standins.demo.record import recording_path
from trefoilpulley_standins.demo.report import dump_report
from trefoilpulley_standins.demo.report import Report
from trefoilpulley_standins.demo.tenants import find_writing_tenant
from trefoilpulley_standins.demo.tenants import list_tenant_work
from trefoilpulley_standins.demo.tenants import make_foreign_steps
from trefoilpulley_standins.demo.workload import generate_workload
from trefoilpulley_standins.demo.workload import load_workload
from trefoilpulley_standins.demo.workload import Step
from trefoilpulley_standins.demo.workload import StepKind
from trefoilpulley_standins.demo.workload import TenantWork
from trefoilpulley_standins.deployment import Deployment
from trefoilpulley_standins.deployment import find_deployment
from trefoilpulley_standins.starting import load_declarations

_DATABASE = 'ledger/0'
_STOP = StopWindow(_DATABASE, 20.0, 24.0)
_KEYS = (
    'lost',
    'doubled',
    'mixed',
    'wrong_answer',
    'ryw_violations',
    'stale_beyond_target',
    'false_not_run',
    'cut_by_planned_stop',
)


class StandinsDemoSteps:
    """Steps for journals with one fault each."""

    @staticmethod
    @given('a demonstration journal without faults')
    def make_journal(context: Any) -> None:
        """Build a journal of a write, a transaction and two reads."""
        context.entries = {
            'w1': _make_write('w1', 's1', 1.0, 1),
            't1': replace(
                _make_write('t1', 's2', 2.0, 3),
                kind=StepKind.TRANSACTION,
                parts=2,
            ),
            'r1': _make_read(
                'r1', 's1', 2.5, own_floor=1, own_rows=1, last_id=3
            ),
            'r2': _make_read(
                'r2', 's2', 9.0, own_floor=2, own_rows=2, last_id=3
            ),
        }
        rows = (
            StoredRow(1, 'w1', 's1', 1),
            StoredRow(2, 't1', 's2', 1),
            StoredRow(3, 't1', 's2', 2),
        )
        context.rows = {'a': list(rows), 'b': list(rows)}

    @staticmethod
    @given('the journal fault "{fault}"')
    def add_fault(context: Any, fault: str) -> None:
        """Add the fault to the journal or to the stored rows."""
        _FAULTS[fault](context)

    @staticmethod
    @given('journal writes at a until {last:g} s and at b from {first:g} s')
    def add_writes(context: Any, last: float, first: float) -> None:
        """Add writes before and after a change of primary."""
        for name, member, at_s in (
            ('w7', 'a', last - 1),
            ('w8', 'a', last),
            ('w9', 'b', first),
            ('w10', 'b', first + 1),
        ):
            entry = _make_write(name, 's1', at_s - 0.01, 0)
            context.entries[name] = replace(entry, member=member, ended_s=at_s)

    @staticmethod
    @then('the write gap after {since:g} s is {gap:g} s')
    def check_gap(context: Any, since: float, gap: float) -> None:
        """Compare the gap in seconds."""
        assert _make_checker(context).write_gap_s(_DATABASE, since) == gap

    @staticmethod
    @then('the write gap after {since:g} s is not found')
    def check_no_gap(context: Any, since: float) -> None:
        """Check that no change of primary is found."""
        assert _make_checker(context).write_gap_s(_DATABASE, since) is None

    @staticmethod
    @then('the demonstration checker counts nothing')
    def check_nothing(context: Any) -> None:
        """Check that every count is 0."""
        assert not any(_count_faults(context).values()), _count_faults(context)

    @staticmethod
    @then('the demonstration checker counts only {keys}')
    def check_counts(context: Any, keys: str) -> None:
        """Check that exactly the named keys have a count."""
        counted = {k for k, v in _count_faults(context).items() if v}
        assert counted == set(keys.split(' and ')), counted

    @staticmethod
    @then('the workloads of one seed are equal and that of another differs')
    def check_workloads(context: Any) -> None:
        """Generate and compare three workloads."""
        work = (TenantWork('weavers', ('filing',), ('lookup',), (0, 1, 2)),)
        first, again, other = (
            generate_workload(work, seed) for seed in (1, 1, 2)
        )
        assert first == again
        assert first != other

    @staticmethod
    @then('the demonstration checker counts no refusal')
    def check_no_refusal(context: Any) -> None:
        """Check that an attempt on another tenant is not counted."""
        assert _make_checker(context).count(Verdict.REFUSED) == 0

    @staticmethod
    @then(
        'the recorded workload of "{name}" is generated from the seed {seed:d}'
    )
    def check_recorded_workload(context: Any, name: str, seed: int) -> None:
        """Compare the recorded workload with a generated one."""
        works = list_tenant_work(find_deployment(name))
        recorded = load_workload(recording_path(name))
        assert recorded == generate_workload(works, seed)

    @staticmethod
    @then('every step of the recorded workload of "{name}" is granted')
    def check_granted(context: Any, name: str) -> None:
        """Check the grants of each step and of the steady writers."""
        deployment = find_deployment(name)
        steps = load_workload(recording_path(name))
        refused = [s for s in steps if not _is_granted(deployment, s)]
        assert not refused, refused[0]
        for number in range(deployment.databases):
            tenant = find_writing_tenant(deployment, number)
            work = deployment.write_class
            step = Step(0, 0, StepKind.WRITE, tenant, work, number)
            assert _is_granted(deployment, step), step

    @staticmethod
    @then(
        '"{name}" has {count:d} attempts on databases of other tenants, '
        'none of them granted'
    )
    def check_attempts(context: Any, name: str, count: int) -> None:
        """Check the number of attempts: a read and a write of each tenant."""
        deployment = find_deployment(name)
        steps = tuple(make_foreign_steps(deployment, 0))
        assert len({(s.tenant, s.kind) for s in steps}) == count, steps
        assert len(steps) == count, steps
        assert not any(_is_granted(deployment, s) for s in steps)
        assert all(s.is_foreign for s in steps)

    @staticmethod
    @given('a demonstration report with 1 in "{key}"')
    def make_report(context: Any, key: str) -> None:
        """Build a report whose other counts are 0."""
        report = Report(*[0] * 11, 0.0, None, None, None, {})
        context.report = replace(report, **{key: 1})

    @staticmethod
    @then('the demonstration command exits with {status:d}')
    def check_status(context: Any, status: int) -> None:
        """Compare the exit status."""
        assert context.report.exit_status == status

    @staticmethod
    @then("the demonstration report's keys are these")
    def check_keys(context: Any) -> None:
        """Compare the keys of the JSON document."""
        document = json.loads(dump_report(context.report))
        assert list(document) == context.text.split()


def _is_granted(deployment: Deployment, step: Step) -> bool:
    tenant = load_declarations(deployment).find_tenant(step.tenant)
    database = f'{deployment.ledger}/{step.database}'
    return any(
        grant.ledger in (deployment.ledger, database)
        and (step.work_class in grant.classes or step.kind is StepKind.ROAM)
        for grant in tenant.grants
    )


def _make_write(
    request: str, session: str, began_s: float, last_id: int
) -> Entry:
    return Entry(
        request,
        session,
        'filing',
        _DATABASE,
        StepKind.WRITE,
        began_s,
        began_s + 0.1,
        Verdict.ANSWERED,
        member='a',
        parts=1,
        last_id=last_id,
    )


def _make_read(
    request: str, session: str, began_s: float, **seen: int
) -> Entry:
    return Entry(
        request,
        session,
        'lookup',
        _DATABASE,
        StepKind.READ,
        began_s,
        began_s + 0.1,
        Verdict.ANSWERED,
        member='b',
        **seen,
    )


def _change_entry(context: Any, request: str, **fields: Any) -> None:
    context.entries[request] = replace(context.entries[request], **fields)


def _add_refusal(context: Any, request: str, **fields: Any) -> None:
    entry = replace(
        _make_write(request, 's1', 3.0, 0), verdict=Verdict.REFUSED, parts=0
    )
    context.entries[request] = replace(entry, **fields)


def _store_rows(context: Any, *rows: StoredRow) -> None:
    for member_rows in context.rows.values():
        member_rows.extend(rows)


def _remove_row(context: Any, members: str, row_id: int) -> None:
    for member in members:
        member_rows = context.rows[member]
        context.rows[member] = [r for r in member_rows if r.row_id != row_id]


def _remove_at_replica(context: Any) -> None:
    _remove_row(context, 'b', 1)


def _remove_part(context: Any) -> None:
    _remove_row(context, 'ab', 3)


def _duplicate_row(context: Any) -> None:
    _store_rows(context, StoredRow(4, 'w1', 's1', 1))


def _move_row_to_other_session(context: Any) -> None:
    _remove_row(context, 'ab', 1)
    _store_rows(context, StoredRow(4, 'w1', 's9', 1))


def _refuse_partly_stored(context: Any) -> None:
    _add_refusal(context, 't9', kind=StepKind.TRANSACTION)
    _store_rows(context, StoredRow(4, 't9', 's1', 1))


def _answer_other_request(context: Any) -> None:
    _change_entry(context, 'r1', is_own_answer=False)


def _miss_own_write(context: Any) -> None:
    _change_entry(context, 'r1', own_rows=0)


def _read_stale(context: Any) -> None:
    _change_entry(context, 'r2', last_id=1)


def _refuse_stored_write(context: Any) -> None:
    _add_refusal(context, 'w9')
    _store_rows(context, StoredRow(4, 'w9', 's1', 1))


def _refuse_write(context: Any) -> None:
    _add_refusal(context, 'w9')


def _answer_foreign_read(context: Any) -> None:
    entry = _make_read('f1', 's3', 2.0, last_id=3)
    context.entries['f1'] = replace(entry, is_foreign=True)


def _answer_foreign_write(context: Any) -> None:
    entry = _make_write('f1', 's3', 9.5, 4)
    context.entries['f1'] = replace(entry, is_foreign=True)
    _store_rows(context, StoredRow(4, 'f1', 's3', 1))


def _overload_foreign(context: Any) -> None:
    _add_refusal(context, 'f1', is_foreign=True, code='overloaded')


def _lose_foreign_outcome(context: Any) -> None:
    _add_refusal(
        context,
        'f1',
        is_foreign=True,
        verdict=Verdict.UNKNOWN,
        code='outcome-unknown',
    )


def _refuse_foreign(context: Any) -> None:
    _add_refusal(context, 'f1', is_foreign=True, code=NotAuthorized.code)


def _refuse_in_planned_stop(context: Any) -> None:
    _add_refusal(context, 'w9', began_s=21.0, ended_s=22.0)


_FAULTS = {
    'an acknowledged row is missing at one replica': _remove_at_replica,
    'one row of a transaction is missing everywhere': _remove_part,
    'a row stands twice': _duplicate_row,
    'a row stands under another session': _move_row_to_other_session,
    'a refused transaction is there in part': _refuse_partly_stored,
    "an answer has another request's parameter": _answer_other_request,
    "a read misses the session's own write": _miss_own_write,
    'a read is older than its class allows': _read_stale,
    'a refused write is in the rows': _refuse_stored_write,
    'a write is refused truly': _refuse_write,
    'a request is refused in a planned stop': _refuse_in_planned_stop,
    "a read of another tenant's database is answered": _answer_foreign_read,
    "a write to another tenant's database is answered": _answer_foreign_write,
    "a write to another tenant's database is overloaded": _overload_foreign,
    "a write to another tenant's database is unknown": _lose_foreign_outcome,
    "a write to another tenant's database is not authorized": _refuse_foreign,
}


def _make_checker(context: Any) -> Checker:
    prompt = Promptness(1000, 0.99)
    present = Freshness(FreshnessKind.PRESENT)
    aged = Freshness(FreshnessKind.AGE, 2000)
    declarations = Declarations(
        (
            WorkClass('filing', WorkKind.WRITE, present, prompt, Safety()),
            WorkClass('lookup', WorkKind.READ, aged, prompt, Safety()),
        )
    )
    members = tuple(
        MemberRows(_DATABASE, name, tuple(rows))
        for name, rows in context.rows.items()
    )
    return Checker(context.entries.values(), members, declarations)


def _count_faults(context: Any) -> dict[str, int]:
    checker = _make_checker(context)
    counts = (
        checker.count_lost(),
        checker.count_doubled(),
        checker.count_mixed(),
        checker.count_wrong_answers(),
        checker.count_ryw_violations(),
        checker.count_stale(),
        checker.count_false_not_run(),
        checker.count_cut_by_planned_stop((_STOP,)),
    )
    return dict(zip(_KEYS, counts, strict=True))
