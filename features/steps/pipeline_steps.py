"""Steps on the request pipeline."""

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
from trefoilpulley_node.pipeline.confirm import OutcomeResolver
from trefoilpulley_node.pipeline.deliver import DeliveryFilter
from trefoilpulley_node.pipeline.execute import Executor
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


class _LastRefusal(OutcomeResolver):
    def resolve_outcome(self, req: PipelineRequest, refusal: Any) -> Any:
        """Say the refusal without a look-up."""
        return Failed(refusal)


class PrepareSteps:
    """Filters up to admission."""

    @staticmethod
    @given('a pipeline with the tenants "north" and "south"')
    def make_pipeline(context: Any) -> None:
        """Let north file at the ledger, and south look up only."""
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
    @given('its host drains')
    def drain(context: Any) -> None:
        """Begin to drain."""
        context.admit.is_draining = True

    @staticmethod
    @when(
        '"{tenant}" sends a request of class "{work_class}" to "{database}"'
        ' with {token}'
    )
    def send(
        context: Any, tenant: str, work_class: str, database: str, token: str
    ) -> None:
        """Pass one request through the filters."""
        good = context.codec.encode(SessionToken(tenant))
        foreign = TokenCodec('elsewhere', ('key',))
        tokens = {
            'no token': b'',
            'a forged token': TokenCodec('deployment', ('guess',)).encode(
                SessionToken(tenant)
            ),
            'an altered token': good[:-1] + bytes([good[-1] ^ 1]),
            'a token of the other tenant': context.codec.encode(
                SessionToken('south')
            ),
            'a token of another deployment': foreign.encode(
                SessionToken(tenant)
            ),
        }
        message = Execute(
            'r-1', work_class, database, 'insert', (), tokens[token]
        )
        req = PipelineRequest(tenant, message, context.clock.now())
        context.result = context.pipeline.run(req)

    @staticmethod
    @then('the pipeline refuses it as "{code}", not run')
    def check_refusal(context: Any, code: str) -> None:
        """Expect the typed failure."""
        failure = context.result.failure()
        assert failure.code == code, failure
        assert str(failure.run_state) == 'not-run'


class DeliverSteps:
    """Routing, execution and the settling of lost answers."""

    @staticmethod
    @given('a pooler that answers a {kind:w}: {answers}')
    def make_pooler(context: Any, kind: str, answers: str) -> None:
        """Script the answers; the last one repeats."""
        context.clock = FakeClock()
        context.peers = FakePeers(context.clock, answers.split(', '))
        context.confirm_type = OutcomeResolver
        context.is_cut_off = False
        context.database = DATABASES['ledger/0']

    @staticmethod
    @given('a pipeline that takes the last refusal for the outcome')
    def break_confirm(context: Any) -> None:
        """Put a deliberate fault in."""
        context.confirm_type = _LastRefusal

    @staticmethod
    @given('its database has {count:d} members')
    def set_members(context: Any, count: int) -> None:
        """Build a database group."""
        members = tuple(
            MemberEntry(f'm{n}', 'zone', Endpoint('127.0.0.1', 1), 2, 16)
            for n in range(count)
        )
        context.database = DatabaseEntry('ledger/0', 'ledger', members)

    @staticmethod
    @then('the pooler was asked for {count:d} copies')
    def check_copies(context: Any, count: int) -> None:
        """Compare the copies in the message."""
        assert context.peers.sent[0].message.copies == count

    @staticmethod
    @given('its zone is cut off')
    def cut_zone(context: Any) -> None:
        """Let no other zone answer."""
        context.is_cut_off = True

    @staticmethod
    @then('the caller waited less than {limit:g} s')
    def check_waited(context: Any, limit: float) -> None:
        """Compare the virtual time that has passed."""
        waited_s = context.clock.now() - 100.0
        assert waited_s < limit, waited_s

    @staticmethod
    @when('the pipeline delivers the {kind:w}')
    def deliver(context: Any, kind: str) -> None:
        """Deliver one request."""
        clock = context.clock
        views = FakeViews(clock)
        router = FakeRouter()
        executor = Executor(context.peers, views, clock)
        confirm = context.confirm_type(
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
    @then('its outcome is "{outcome}"')
    def check_outcome(context: Any, outcome: str) -> None:
        """Expect an answer or a refusal with its run state."""
        if isinstance(context.result, Success):
            found = 'answered'
        else:
            found = f'refused {context.result.failure().run_state}'
        assert found == outcome, context.result

    @staticmethod
    @then('every message about it carried the same key')
    def check_keys(context: Any) -> None:
        """Expect one key, so that members run the write once."""
        keys = {sent.message.key for sent in context.peers.sent}
        assert len(keys) == 1, keys

    @staticmethod
    @then('that is false, since the write has run')
    def check_false(context: Any) -> None:
        """Expect the pooler to hold the outcome of the write."""
        answer = context.peers.call_host_raw('a', None, 1.0)
        assert answer.unwrap().result.is_recalled
