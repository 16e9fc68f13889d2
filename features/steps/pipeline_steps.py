"""Steps for the request pipeline."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from behave import given
from behave import then
from behave import when
from returns.result import Failure as Failed
from returns.result import Success

from features.fakes.fake_entry_parts import FakeClock
from features.fakes.fake_entry_parts import FakePeers
from features.fakes.fake_entry_parts import FakeRouter
from features.fakes.fake_entry_parts import FakeViews
from trefoilpulley_core.admission import Admission
from trefoilpulley_core.caller import Execute
from trefoilpulley_core.catalog import DatabaseEntry
from trefoilpulley_core.catalog import Endpoint
from trefoilpulley_core.catalog import MemberEntry
from trefoilpulley_core.declarations import Declarations
from trefoilpulley_core.declarations import Freshness
from trefoilpulley_core.declarations import FreshnessKind
from trefoilpulley_core.declarations import Grant
from trefoilpulley_core.declarations import Promptness
from trefoilpulley_core.declarations import Safety
from trefoilpulley_core.declarations import Tenant
from trefoilpulley_core.declarations import WorkClass
from trefoilpulley_core.declarations import WorkKind
from trefoilpulley_core.position import BEGINNING
from trefoilpulley_core.retry_budget import RetryBudget
from trefoilpulley_core.targets import ClassTargets
from trefoilpulley_core.token import SessionToken
from trefoilpulley_core.token import TokenCodec
from trefoilpulley_node.pipeline.admit import AdmissionFilter
from trefoilpulley_node.pipeline.admit import make_key
from trefoilpulley_node.pipeline.authenticate import AuthenticationFilter
from trefoilpulley_node.pipeline.classify import ClassificationFilter
from trefoilpulley_node.pipeline.deliver import DeliveryFilter
from trefoilpulley_node.pipeline.execute import Executor
from trefoilpulley_node.pipeline.outcome_resolver import OutcomeResolver
from trefoilpulley_node.pipeline.pipeline import Pipeline
from trefoilpulley_node.pipeline.request import PipelineRequest
from trefoilpulley_node.pipeline.session_floor import SessionFloorFilter


def _make_class(name: str, work: WorkKind) -> WorkClass:
    return WorkClass(
        name,
        work,
        Freshness(FreshnessKind.SESSION),
        Promptness(1000, 0.99),
        Safety(2),
    )


FILING = _make_class('filing', WorkKind.WRITE)
LOOKUP = _make_class('lookup', WorkKind.READ)
DATABASES = {
    'ledger/0': DatabaseEntry('ledger/0', 'ledger', ()),
    'other/0': DatabaseEntry('other/0', 'other', ()),
}


class _LastRefusalResolver(OutcomeResolver):
    def resolve_outcome(self, req: PipelineRequest, refusal: Any) -> Any:
        """Return the refusal without looking the outcome up."""
        return Failed(refusal)


class RequestFilterSteps:
    """Steps for the filters up to and including admission."""

    @staticmethod
    @given('a pipeline with the tenants "north" and "south"')
    def make_pipeline(context: Any) -> None:
        """Grant north both classes at the ledger, and south only look-ups."""
        declarations = Declarations(
            (FILING, LOOKUP),
            (
                Tenant('north', (Grant('ledger', ('filing', 'lookup')),)),
                Tenant('south', (Grant('ledger', ('lookup',)),)),
            ),
        )
        targets = ClassTargets()
        targets.declare(declarations.classes)
        context.clock = FakeClock()
        context.codec = TokenCodec('deployment', ('key',))
        context.admit = AdmissionFilter(Admission(targets), context.clock)
        context.pipeline = Pipeline(
            (
                AuthenticationFilter((), lambda: declarations),
                ClassificationFilter(lambda: declarations, DATABASES.get),
                SessionFloorFilter(context.codec),
                context.admit,
            )
        )

    @staticmethod
    @given('the host is draining')
    def start_draining(context: Any) -> None:
        """Mark the host as draining."""
        context.admit.is_draining = True

    @staticmethod
    @when(
        '"{tenant}" sends a request of class "{work_class}" to "{database}"'
        ' with {token}'
    )
    def send_request(
        context: Any, tenant: str, work_class: str, database: str, token: str
    ) -> None:
        """Run one request through the filters."""
        valid = context.codec.encode(SessionToken(tenant))
        other_deployment = TokenCodec('elsewhere', ('key',))
        tokens = {
            'no token': b'',
            'a forged token': TokenCodec('deployment', ('guess',)).encode(
                SessionToken(tenant)
            ),
            'an altered token': valid[:-1] + bytes([valid[-1] ^ 1]),
            'a token of the other tenant': context.codec.encode(
                SessionToken('south')
            ),
            'a token of another deployment': other_deployment.encode(
                SessionToken(tenant)
            ),
        }
        message = Execute(
            'r-1', work_class, database, 'insert', (), tokens[token]
        )
        req = PipelineRequest(tenant, message, context.clock.now())
        context.result = context.pipeline.run(req)

    @staticmethod
    @then('the pipeline refuses the request as "{code}", not run')
    def check_refusal(context: Any, code: str) -> None:
        """Check the failure code and the run state."""
        failure = context.result.failure()
        assert failure.code == code, failure
        assert str(failure.run_state) == 'not-run'


class DeliverySteps:
    """Steps for routing, execution and the resolution of lost answers."""

    @staticmethod
    @given('a pooler that answers a {kind:w}: {answers}')
    def make_pooler(context: Any, kind: str, answers: str) -> None:
        """Script the answers of the pooler; the last one repeats."""
        context.clock = FakeClock()
        context.peers = FakePeers(context.clock, answers.split(', '))
        context.resolver_type = OutcomeResolver
        context.is_cut_off = False
        context.database = DATABASES['ledger/0']

    @staticmethod
    @given('a pipeline that reports the last refusal as the outcome')
    def use_faulty_resolver(context: Any) -> None:
        """Replace the outcome resolver by a faulty one."""
        context.resolver_type = _LastRefusalResolver

    @staticmethod
    @given("the write's database has {count:d} members")
    def set_members(context: Any, count: int) -> None:
        """Give the database the number of members."""
        members = tuple(
            MemberEntry(f'm{n}', 'zone', Endpoint('127.0.0.1', 1), 2, 16)
            for n in range(count)
        )
        context.database = DatabaseEntry('ledger/0', 'ledger', members)

    @staticmethod
    @then('the message to the pooler requires {count:d} copies')
    def check_copies(context: Any, count: int) -> None:
        """Compare the number of copies in the first message."""
        assert context.peers.sent[0].message.copies == count

    @staticmethod
    @given("the host's zone is cut off")
    def cut_zone_off(context: Any) -> None:
        """Mark the zone of the host as cut off from the other zones."""
        context.is_cut_off = True

    @staticmethod
    @then('the caller waited less than {limit:g} s')
    def check_wait(context: Any, limit: float) -> None:
        """Compare the virtual time that has passed, in seconds."""
        waited_s = context.clock.now() - 100.0
        assert waited_s < limit, waited_s

    @staticmethod
    @when('the pipeline delivers the {kind:w}')
    def deliver_request(context: Any, kind: str) -> None:
        """Run one request through the delivery filter."""
        clock = context.clock
        views = FakeViews(clock)
        router = FakeRouter()
        executor = Executor(context.peers, views, clock)
        confirm = context.resolver_type(
            router, executor, views, lambda: context.is_cut_off, clock
        )
        deliver = DeliveryFilter(
            router,
            executor,
            confirm,
            views,
            RetryBudget(),
            lambda: context.is_cut_off,
            clock,
        )
        work_class = FILING if kind == 'write' else LOOKUP
        message = Execute('r-1', work_class.name, 'ledger/0', 'insert')
        req = PipelineRequest('north', message, clock.now())
        context.result = deliver.apply(
            replace(
                req,
                work_class=work_class,
                database=context.database,
                deadline=clock.now() + 1,
                floor=BEGINNING,
                token=SessionToken('north'),
                key=make_key('north', message),
            )
        )

    @staticmethod
    @then('the reported outcome is "{outcome}"')
    def check_outcome(context: Any, outcome: str) -> None:
        """Compare the result: an answer, or a refusal and its run state."""
        if isinstance(context.result, Success):
            found = 'answered'
        else:
            found = f'refused {context.result.failure().run_state}'
        assert found == outcome, context.result

    @staticmethod
    @then('every message for the write carried the same outcome key')
    def check_outcome_key(context: Any) -> None:
        """Check that one key lets the members run the write only once."""
        keys = {sent.message.key for sent in context.peers.sent}
        assert len(keys) == 1, keys

    @staticmethod
    @then('the reported outcome is wrong because the write has run')
    def check_outcome_is_wrong(context: Any) -> None:
        """Check that the pooler has stored the outcome of the write."""
        answer = context.peers.call_host_raw('a', None, 1.0)
        assert answer.unwrap().result.is_recalled
