"""Steps on retries, admission, targets and leadership proofs."""

from __future__ import annotations

from typing import Any

from behave import given
from behave import then
from behave import when
from returns.pipeline import is_successful

from features.fakes.routing_trace import CLASSES
from features.fakes.routing_trace import make_targets
from trefoilpulley_core.admission import Admission
from trefoilpulley_core.failure import failures_by_code
from trefoilpulley_core.failure import Overloaded
from trefoilpulley_core.leadership import LeadershipProof
from trefoilpulley_core.retry_budget import RetryBudget


class LimitsRequestsSteps:
    """Steps on the limits and the targets of requests."""

    @staticmethod
    @given('a retry budget')
    def make_retries(context: Any) -> None:
        """Make a retry budget with its initial burst."""
        context.retries = RetryBudget()

    @staticmethod
    @when('{count:d} fresh requests are received and refused')
    def refuse(context: Any, count: int) -> None:
        """Request a retry of every fresh request."""
        context.allowed = 0
        for _ in range(count):
            context.retries.record_fresh('m/a')
            context.allowed += context.retries.try_retry(
                'm/a', Overloaded(), False
            )

    @staticmethod
    @when('{count:d} retries to "{member}" are requested')
    def request_retries(context: Any, count: int, member: str) -> None:
        """Request retries without fresh requests."""
        context.allowed = sum(
            context.retries.try_retry(member, Overloaded(), False)
            for _ in range(count)
        )

    @staticmethod
    @then('between {least:d} and {most:d} retries are allowed')
    def check_share(context: Any, least: int, most: int) -> None:
        """Compare the allowed retries with the share and the burst."""
        assert least <= context.allowed <= most, context.allowed

    @staticmethod
    @then('{count:d} of the requested retries are allowed')
    def check_allowed(context: Any, count: int) -> None:
        """Compare the number of allowed retries."""
        assert context.allowed == count, context.allowed

    @staticmethod
    @then('"{member}" has {count:d} available retries')
    def check_available(context: Any, member: str, count: int) -> None:
        """Compare the available retries of another upstream."""
        assert context.retries.available_retries(member) == count

    @staticmethod
    @then('a {kind} request is {answer} after "{code}"')
    def check_retry(context: Any, kind: str, answer: str, code: str) -> None:
        """Request one retry after a failure."""
        failure = failures_by_code()[code]()
        is_allowed = context.retries.try_retry(
            'm/a', failure, kind == 'repeatable'
        )
        assert is_allowed == (answer == 'sent again')

    @staticmethod
    @given('an entry host with a limit of {limit:d} requests')
    def make_admission(context: Any, limit: int) -> None:
        """Make the admission control of an idle host."""
        context.admission = Admission(make_targets(), limit)

    @staticmethod
    @when(
        '{tenants:d} tenants send {count:d} requests of "{work_class}" each '
        'in turn'
    )
    def send_in_turn(
        context: Any, tenants: int, count: int, work_class: str
    ) -> None:
        """Request admission for each tenant in turn."""
        for _ in range(count):
            for number in range(tenants):
                _admit(context, f't{number}', work_class)

    @staticmethod
    @when('tenant "{tenant}" sends {count:d} requests of "{work_class}"')
    def send_many(
        context: Any, tenant: str, count: int, work_class: str
    ) -> None:
        """Request admission of one tenant's requests."""
        admitted = [_admit(context, tenant, work_class) for _ in range(count)]
        context.admitted = {tenant: sum(admitted)}

    @staticmethod
    @then('{count:d} requests are in progress')
    def check_total(context: Any, count: int) -> None:
        """Compare the number of requests in progress."""
        assert context.admission.total == count, context.admission.total

    @staticmethod
    @then('tenant "{tenant}" has {count:d} requests in progress')
    def check_tenant(context: Any, tenant: str, count: int) -> None:
        """Compare one tenant's admitted requests and finish them."""
        assert context.admitted[tenant] == count, context.admitted
        before = context.admission.total
        for _ in range(count):
            context.admission.finish(tenant)
        assert context.admission.total == before - count

    @staticmethod
    @then('a request of "{work_class}" of tenant "{tenant}" is admitted')
    def check_admitted(context: Any, work_class: str, tenant: str) -> None:
        """Expect that one more request is admitted."""
        assert _admit(context, tenant, work_class)

    @staticmethod
    @then('a request of "{work_class}" at its deadline is refused')
    def check_late(context: Any, work_class: str) -> None:
        """Expect the failure ``Overloaded``."""
        result = context.admission.admit('t', work_class, 5.0, 5.0)
        assert isinstance(result.failure(), Overloaded)

    @staticmethod
    @given(
        'targets with {good:d} answers in time and {late:d} late answers of '
        '"{work_class}"'
    )
    def record_answers(
        context: Any, good: int, late: int, work_class: str
    ) -> None:
        """Record answers of a class whose time limit is 250 ms."""
        context.targets = make_targets()
        context.work_class = work_class
        context.now = 100.0
        for elapsed_s in (0.2,) * good + (0.3,) * late:
            context.targets.record(work_class, elapsed_s, context.now)

    @staticmethod
    @given('targets with one answer of "{name}" for each of 1 to {most:d} ms')
    def record_times(context: Any, name: str, most: int) -> None:
        """Record one answer for each number of milliseconds."""
        context.targets = make_targets()
        context.now = 100.0
        for elapsed_ms in range(1, most + 1):
            context.targets.record(name, elapsed_ms / 1000, context.now)

    @staticmethod
    @when('{elapsed:d} s pass without an answer')
    def advance_clock(context: Any, elapsed: int) -> None:
        """Advance the clock."""
        context.now += elapsed

    @staticmethod
    @then('the share of "{name}" is {share:f} and its target is met')
    def check_target_share(context: Any, name: str, share: float) -> None:
        """Compare the reported share; expect that the target is met."""
        report = _report(context, name)
        assert abs(report.share - share) < 1e-9, report
        assert report.is_met

    @staticmethod
    @then('the danger of the class is {danger:f}')
    def check_danger(context: Any, danger: float) -> None:
        """Compare the danger of the class."""
        found = context.targets.danger(context.work_class, context.now)
        assert abs(found - danger) < 1e-9, found

    @staticmethod
    @then(
        'the median of "{name}" is about {p50:d} ms and its 99th percentile '
        '{p99:d} ms'
    )
    def check_quantiles(context: Any, name: str, p50: int, p99: int) -> None:
        """Compare the quantiles within the precision of the histogram."""
        report = _report(context, name)
        assert abs(report.p50_ms - p50) <= 1, report
        assert abs(report.p99_ms - p99) <= 1, report

    @staticmethod
    @then('the classes by decreasing priority are "{names}"')
    def check_priority(context: Any, names: str) -> None:
        """Sort the classes by their priority."""
        targets = make_targets()
        ordered = sorted(
            (c.name for c in CLASSES), key=targets.priority, reverse=True
        )
        assert ordered == names.split(', '), ordered

    @staticmethod
    @given(
        'a primary of term {term:d} in a group of {n:d} members that was '
        'asked at {t:d} s'
    )
    def make_proof(context: Any, term: int, n: int, t: int) -> None:
        """Process the primary's own answer."""
        context.proof = LeadershipProof(n)
        context.proof.on_primary_status(term, term, float(t))

    @staticmethod
    @when(
        'replica "{name}" is asked at {t:d} s and reports the fenced term '
        '{f:d}'
    )
    def process_answer(context: Any, name: str, t: int, f: int) -> None:
        """Process a replica's answer."""
        context.proof.on_replica_status(name, f, float(t))

    @staticmethod
    @then('the leadership of the primary is not proven')
    def check_unproven(context: Any) -> None:
        """Expect that there is no proof."""
        assert context.proof.proven_at() is None
        assert not context.proof.is_proven_since(0.0)

    @staticmethod
    @then("the primary's data is {age_ms:d} ms old at {t:d} s")
    def check_age(context: Any, age_ms: int, t: int) -> None:
        """Compare the age of the primary's own data."""
        assert context.proof.age_ms(float(t)) == age_ms

    @staticmethod
    @then('the leadership of the primary is proven as of {t:d} s')
    def check_proven(context: Any, t: int) -> None:
        """Compare the latest time at which leadership is proven."""
        assert context.proof.proven_at() == t
        assert not context.proof.is_proven_since(t + 0.1)


def _admit(context: Any, tenant: str, work_class: str) -> bool:
    result = context.admission.admit(tenant, work_class, 5.0, 1.0)
    return is_successful(result)


def _report(context: Any, name: str) -> Any:
    reports = context.targets.snapshot(context.now)
    return next(r for r in reports if r.work_class == name)
