"""Steps on the checker of the demonstration."""

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
    """Steps on journals with one fault each."""

    @staticmethod
    @given('a standins journal without faults')
    def make_journal(context: Any) -> None:
        """Make two writes, a transaction and two reads."""
        context.entries = {
            'w1': _write('w1', 's1', 1.0, 1),
            't1': replace(
                _write('t1', 's2', 2.0, 3),
                kind=StepKind.TRANSACTION,
                parts=2,
            ),
            'r1': _read('r1', 's1', 2.5, own_floor=1, own_rows=1, last_id=3),
            'r2': _read('r2', 's2', 9.0, own_floor=2, own_rows=2, last_id=3),
        }
        rows = (
            StoredRow(1, 'w1', 's1', 1),
            StoredRow(2, 't1', 's2', 1),
            StoredRow(3, 't1', 's2', 2),
        )
        context.rows = {'a': list(rows), 'b': list(rows)}

    @staticmethod
    @given('the standins fault "{fault}"')
    def add_fault(context: Any, fault: str) -> None:
        """Change the journal or the rows."""
        _FAULTS[fault](context)

    @staticmethod
    @given('standins writes at a until {last:g} s and at b from {first:g} s')
    def add_writes(context: Any, last: float, first: float) -> None:
        """Add writes before and after a change of primary."""
        for name, member, at_s in (
            ('w7', 'a', last - 1),
            ('w8', 'a', last),
            ('w9', 'b', first),
            ('w10', 'b', first + 1),
        ):
            entry = _write(name, 's1', at_s - 0.01, 0)
            context.entries[name] = replace(entry, member=member, ended_s=at_s)

    @staticmethod
    @then('the standins write gap after {since:g} s is {gap:g} s')
    def check_gap(context: Any, since: float, gap: float) -> None:
        """Compare the gap."""
        assert _check(context).write_gap_s(_DATABASE, since) == gap

    @staticmethod
    @then('the standins write gap after {since:g} s is not seen')
    def check_no_gap(context: Any, since: float) -> None:
        """Expect no change of primary."""
        assert _check(context).write_gap_s(_DATABASE, since) is None

    @staticmethod
    @then('the standins checker counts nothing')
    def check_nothing(context: Any) -> None:
        """Expect that every count is 0."""
        assert not any(_count(context).values()), _count(context)

    @staticmethod
    @then('the standins checker counts only {keys}')
    def check_counts(context: Any, keys: str) -> None:
        """Expect one of each named key and nothing else."""
        counted = {k for k, v in _count(context).items() if v}
        assert counted == set(keys.split(' and ')), counted

    @staticmethod
    @then(
        'the standins recordings of one seed are equal and of another are not'
    )
    def check_recordings(context: Any) -> None:
        """Draw three recordings."""
        work = (TenantWork('weavers', ('filing',), ('lookup',), (0, 1, 2)),)
        first, again, other = (
            generate_workload(work, seed) for seed in (1, 1, 2)
        )
        assert first == again
        assert first != other

    @staticmethod
    @then('the standins checker counts no refusal')
    def check_no_refusal(context: Any) -> None:
        """Expect that a try does not count among the refused."""
        assert _check(context).count(Verdict.REFUSED) == 0

    @staticmethod
    @then('the standins recording of "{name}" is drawn from the seed {seed:d}')
    def check_recording(context: Any, name: str, seed: int) -> None:
        """Draw the recording anew."""
        works = list_tenant_work(find_deployment(name))
        recorded = load_workload(recording_path(name))
        assert recorded == generate_workload(works, seed)

    @staticmethod
    @then('every standins step of "{name}" is granted')
    def check_granted(context: Any, name: str) -> None:
        """Expect a right for each step and for steady writers."""
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
    @then('"{name}" has {tries:d} standins tries, none of them granted')
    def check_tries(context: Any, name: str, tries: int) -> None:
        """Count the tries; each tenant reads and writes once."""
        deployment = find_deployment(name)
        steps = tuple(make_foreign_steps(deployment, 0))
        assert len({(s.tenant, s.kind) for s in steps}) == tries, steps
        assert len(steps) == tries, steps
        assert not any(_is_granted(deployment, s) for s in steps)
        assert all(s.is_foreign for s in steps)

    @staticmethod
    @given('a standins report with 1 in "{key}"')
    def make_report(context: Any, key: str) -> None:
        """Make a report whose other counts are 0."""
        report = Report(*[0] * 11, 0.0, None, None, None, {})
        context.report = replace(report, **{key: 1})

    @staticmethod
    @then('the standins command ends with {status:d}')
    def check_status(context: Any, status: int) -> None:
        """Compare the exit status."""
        assert context.report.exit_status == status

    @staticmethod
    @then("the standins report's keys are these")
    def check_keys(context: Any) -> None:
        """Compare the keys of the JSON text."""
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


def _write(request: str, session: str, began_s: float, last_id: int) -> Entry:
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


def _read(request: str, session: str, began_s: float, **seen: int) -> Entry:
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


def _change(context: Any, request: str, **fields: Any) -> None:
    context.entries[request] = replace(context.entries[request], **fields)


def _refuse(context: Any, request: str, **fields: Any) -> None:
    entry = replace(
        _write(request, 's1', 3.0, 0), verdict=Verdict.REFUSED, parts=0
    )
    context.entries[request] = replace(entry, **fields)


def _store(context: Any, *rows: StoredRow) -> None:
    for held in context.rows.values():
        held.extend(rows)


def _drop(context: Any, members: str, row_id: int) -> None:
    for member in members:
        held = context.rows[member]
        context.rows[member] = [r for r in held if r.row_id != row_id]


def _drop_at_replica(context: Any) -> None:
    _drop(context, 'b', 1)


def _drop_part(context: Any) -> None:
    _drop(context, 'ab', 3)


def _double(context: Any) -> None:
    _store(context, StoredRow(4, 'w1', 's1', 1))


def _mix(context: Any) -> None:
    _drop(context, 'ab', 1)
    _store(context, StoredRow(4, 'w1', 's9', 1))


def _refuse_in_part(context: Any) -> None:
    _refuse(context, 't9', kind=StepKind.TRANSACTION)
    _store(context, StoredRow(4, 't9', 's1', 1))


def _cross(context: Any) -> None:
    _change(context, 'r1', is_own_answer=False)


def _miss_own(context: Any) -> None:
    _change(context, 'r1', own_rows=0)


def _age(context: Any) -> None:
    _change(context, 'r2', last_id=1)


def _refuse_falsely(context: Any) -> None:
    _refuse(context, 'w9')
    _store(context, StoredRow(4, 'w9', 's1', 1))


def _refuse_truly(context: Any) -> None:
    _refuse(context, 'w9')


def _try_read(context: Any) -> None:
    entry = _read('f1', 's3', 2.0, last_id=3)
    context.entries['f1'] = replace(entry, is_foreign=True)


def _try_write(context: Any) -> None:
    entry = _write('f1', 's3', 9.5, 4)
    context.entries['f1'] = replace(entry, is_foreign=True)
    _store(context, StoredRow(4, 'f1', 's3', 1))


def _try_overloaded(context: Any) -> None:
    _refuse(context, 'f1', is_foreign=True, code='overloaded')


def _try_unknown(context: Any) -> None:
    _refuse(
        context,
        'f1',
        is_foreign=True,
        verdict=Verdict.UNKNOWN,
        code='outcome-unknown',
    )


def _try_refused(context: Any) -> None:
    _refuse(context, 'f1', is_foreign=True, code=NotAuthorized.code)


def _cut(context: Any) -> None:
    _refuse(context, 'w9', began_s=21.0, ended_s=22.0)


_FAULTS = {
    'an acknowledged row is missing at one replica': _drop_at_replica,
    'one row of a transaction is missing everywhere': _drop_part,
    'a row stands twice': _double,
    'a row stands under another session': _mix,
    'a refused transaction is there in part': _refuse_in_part,
    "an answer has another request's parameter": _cross,
    "a read misses the session's own write": _miss_own,
    'a read is older than its class allows': _age,
    'a refused write is in the rows': _refuse_falsely,
    'a write is refused truly': _refuse_truly,
    'a request is refused in a planned stop': _cut,
    "a read of another tenant's database is answered": _try_read,
    "a write to another tenant's database is answered": _try_write,
    "a write to another tenant's database is overloaded": _try_overloaded,
    "a write to another tenant's database is unknown": _try_unknown,
    "a write to another tenant's database is not authorized": _try_refused,
}


def _check(context: Any) -> Checker:
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


def _count(context: Any) -> dict[str, int]:
    checker = _check(context)
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
