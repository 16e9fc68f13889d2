"""Steps on the limits of customers."""

from __future__ import annotations

import random
from types import SimpleNamespace
from typing import Any

from behave import given
from behave import then
from behave import when
import gevent
from returns.result import Failure as Failed
from returns.result import Result
from returns.result import Success

from features.fakes.asking import wait_until
from features.fakes.fake_entry_parts import FakeClock
from features.fakes.limit_fleet import LimitFleet
from trefoilpulley_core.direct.commands import Begin
from trefoilpulley_core.direct.commands import Commit
from trefoilpulley_core.direct.commands import Run
from trefoilpulley_core.direct import customer_limit
from trefoilpulley_core.direct.customer_limit import CustomerLimits
from trefoilpulley_core.direct.customer_limit import LimitBounds
from trefoilpulley_core.direct.customer_limit import LimitPlan
from trefoilpulley_core.direct.customers import Customer
from trefoilpulley_core.direct.customers import CustomerLimit
from trefoilpulley_core.direct import limit_share
from trefoilpulley_core.direct.upstream_session import Reply
from trefoilpulley_core.direct.upstream_session import TransactionState
from trefoilpulley_core.failure import Failure
from trefoilpulley_core.failure import LimitExceeded
from trefoilpulley_core.failure import PeerUnreachable
from trefoilpulley_node.direct.admission_exchange import AdmissionExchange
from trefoilpulley_node.direct.caller_session import CallerSession
from trefoilpulley_node.direct.direct_metrics import DirectMetrics
from trefoilpulley_node.direct.limit_refusals import LimitRefusals
from trefoilpulley_platform.line_codec import format_failure

CUSTOMER = 'weavers'
"""Customer of the scenarios with one host."""


class _OwnerPeers:
    """Connection to a host that owns the limit, or is silent."""

    def __init__(self, owner: CustomerLimits, clock: FakeClock) -> None:
        self.owner = owner
        self.clock = clock
        self.is_silent = False
        self.questions: list[Any] = []

    def open_channel(
        self, host: str, timeout_s: float
    ) -> Result[None, Failure]:
        """Return an open connection."""
        return Success(None)

    def call_host(
        self, host: str, question: Any, timeout_s: float
    ) -> Result[Any, Failure]:
        """Answer as the owner, unless it is silent."""
        self.questions.append(question)
        gevent.sleep(0)
        if self.is_silent:
            return Failed(PeerUnreachable('silent'))
        return Success(self.owner.answer(question, self.clock.now()))


class LimitFleetSteps:
    """Steps on a fleet in virtual time."""

    @staticmethod
    @given('86 hosts with 85 customers')
    def create(context: Any) -> None:
        """Create the hosts."""
        context.fleet = LimitFleet(86)

    @staticmethod
    @given('86 hosts with 85 customers, without {part}')
    def create_without(context: Any, part: str) -> None:
        """Create hosts that lack a part of the decision."""
        match part:
            case 'shares of a partition':
                _patch(
                    context,
                    limit_share.LimitShare,
                    'fraction',
                    lambda share, now: 1.0,
                )
            case 'the memory of hidden hosts':
                _patch(context, limit_share, 'HIDDEN_MEMORY_S', 0.0)
            case 'the small start of owners':
                _patch_plan(context, start=1000.0, takeover=1000.0)
            case 'parts of lone hosts':
                _patch(
                    context,
                    CustomerLimits,
                    '_part',
                    lambda limits, customer, total: 1,
                )
        context.fleet = LimitFleet(86)

    @staticmethod
    @when('customer {number:d} sends {factor:g} times its limit')
    def overload(context: Any, number: int, factor: float) -> None:
        """Raise the load of one customer; usual load is 1 / 1.5."""
        context.fleet.factor[_name(number)] = 1.5 * factor

    @staticmethod
    @when('the owner of customer {number:d} dies')
    def kill_owner(context: Any, number: int) -> None:
        """Stop the owner without a notice."""
        context.fleet.up.discard(_owner(context, number))
        context.fleet.change()

    @staticmethod
    @when('the owner of customer {number:d} is silent')
    def silence_owner(context: Any, number: int) -> None:
        """Stop the owner, which other hosts take for live."""
        context.fleet.up.discard(_owner(context, number))

    @staticmethod
    @when('the owner of customer {number:d} is cut off')
    def cut_owner(context: Any, number: int) -> None:
        """Cut the links of the owner."""
        context.fleet.side[_owner(context, number)] = 1
        context.fleet.change()

    @staticmethod
    @when('a zone is cut off')
    def cut_zone(context: Any) -> None:
        """Cut the links of every third host to the others."""
        fleet = context.fleet
        fleet.side.update(dict.fromkeys(fleet.names[::3], 1))
        fleet.change()

    @staticmethod
    @when('all hosts lose power for {down_s:g} s')
    def restart_all(context: Any, down_s: float) -> None:
        """Restart all hosts."""
        context.fleet.restart_all(down_s)
        context.down_s = down_s

    @staticmethod
    @then('less than half as much is refused as without the assumption')
    def check_less_refused(context: Any) -> None:
        """Play the same with hosts that count only those they have found."""
        _patch(context, customer_limit, 'START_S', 0.0)
        other = LimitFleet(86)
        other.run(20.0)
        other.restart_all(context.down_s)
        other.run(5.0)
        refused, before = context.fleet.count_refused(), other.count_refused()
        assert refused < before / 2, (refused, before)

    @staticmethod
    @when('the leases of the zone expire')
    def expire(context: Any) -> None:
        """Remove the registrations, which all hosts hear of."""
        fleet = context.fleet
        fleet.registered = {n for n in fleet.names if not fleet.side[n]}
        fleet.change()

    @staticmethod
    @when('the zone is reached again')
    def heal(context: Any) -> None:
        """End the partition."""
        fleet = context.fleet
        fleet.side = dict.fromkeys(fleet.names, 0)
        fleet.registered = set(fleet.names)
        fleet.change()

    @staticmethod
    @when('all callers connect to {count:d} of the hosts')
    def move(context: Any, count: int) -> None:
        """Send all operations to the first hosts."""
        context.fleet.entries = context.fleet.names[:count]

    @staticmethod
    @when('all callers connect to other {count:d} of the hosts')
    def move_on(context: Any, count: int) -> None:
        """Send all operations to the last hosts."""
        context.fleet.entries = context.fleet.names[-count:]

    @staticmethod
    @when('the limit of customer {number:d} is multiplied by {factor:g}')
    def change_limit(context: Any, number: int, factor: float) -> None:
        """Put another limit in force at all hosts."""
        fleet = context.fleet
        limit = fleet.limits[_name(number)]
        fleet.limits[_name(number)] = CustomerLimit(
            factor * limit.rate_per_s, factor * limit.burst
        )
        for name in fleet.names:
            fleet.apply(name)

    @staticmethod
    @when('the operations until now are forgotten')
    def forget(context: Any) -> None:
        """Check only what follows."""
        for times in context.fleet.admitted.values():
            times.clear()

    @staticmethod
    @then('no operation is refused')
    def check_unrefused(context: Any) -> None:
        """Check each customer."""
        refused = {n: len(t) for n, t in context.fleet.refused.items() if t}
        assert not refused, refused

    @staticmethod
    @then('only customer {number:d} is refused operations')
    def check_only(context: Any, number: int) -> None:
        """Check the customers that were refused operations."""
        refused = [n for n, t in context.fleet.refused.items() if t]
        assert refused == [_name(number)], refused

    @staticmethod
    @then('the operations of each customer are within the bound')
    def check_bound(context: Any) -> None:
        """Check the worst window of each customer."""
        fleet = context.fleet
        worst = {n: fleet.worst_excess(n, x) for n, x in fleet.limits.items()}
        over = {n: x for n, x in worst.items() if x > 0}
        assert not over, over

    @staticmethod
    @then('the operations of customer {number:d} exceed the bound')
    def check_excess(context: Any, number: int) -> None:
        """Check that the scenario finds a broken bound."""
        fleet, name = context.fleet, _name(number)
        worst = fleet.worst_excess(name, fleet.limits[name])
        assert worst > 0, worst

    @staticmethod
    @then(
        'customer {number:d} gets at least {part:g} of its rate in the last '
        '{duration:g} s'
    )
    def check_rate(
        context: Any, number: int, part: float, duration: float
    ) -> None:
        """Check that the limit can be used."""
        fleet, name = context.fleet, _name(number)
        since = fleet.now - duration
        count = sum(1 for t in fleet.admitted[name] if t > since)
        rate = fleet.limits[name].rate_per_s
        assert count >= part * rate * duration, (count, rate * duration)


class LimitFaultSteps:
    """Steps on faults in a random order."""

    @staticmethod
    @when('owners and zones fail and return {count:d} times, by seed {seed:d}')
    def fail(context: Any, count: int, seed: int) -> None:
        """Draw faults of the owners of the customers that send too much."""
        fleet, rng = context.fleet, random.Random(seed)
        for _ in range(count):
            fleet.run(rng.choice((0.3, 1, 2, 5)))
            customer = rng.choice(sorted(fleet.factor))
            owner = fleet.hosts[rng.choice(fleet.names)].find_owner(customer)
            match rng.choice(('die', 'cut', 'zone', 'heal')):
                case 'die':
                    fleet.up.discard(owner)
                case 'cut':
                    fleet.side[owner] = 1
                case 'zone':
                    fleet.side.update(dict.fromkeys(fleet.names[::3], 1))
                case 'heal':
                    fleet.side = dict.fromkeys(fleet.names, 0)
                    fleet.up = set(fleet.names)
            fleet.change()
        fleet.run(5.0)


class AdmissionSteps:
    """Steps on one host that asks an owner."""

    @staticmethod
    @given('a host that asks a silent owner')
    def create_silent(context: Any) -> None:
        """Create the host and its owner."""
        AdmissionSteps.create(context)
        context.peers.is_silent = True

    @staticmethod
    @given('a host that asks an owner that answers')
    def create(context: Any) -> None:
        """Create the host and its owner."""
        clock = FakeClock()
        limit = CustomerLimit(100.0, 100.0)
        owner = _make_limits('owner', ['owner'], limit, clock)
        context.limits = _make_limits('entry', ['owner'], limit, clock)
        clock.at += 10.0
        context.peers = _OwnerPeers(owner, clock)
        context.exchange = _make_exchange(context.limits, context.peers, clock)
        context.cleanups.append(context.exchange.stop)

    @staticmethod
    @when('the deployment has no customers')
    def remove_customers(context: Any) -> None:
        """Put a configuration without customers in force."""
        context.limits.set_customers({}, 120.0)

    @staticmethod
    @when('it admits {count:d} operation')
    @when('it admits {count:d} operations one after the other')
    def admit(context: Any, count: int) -> None:
        """Ask to admit operations; a silent owner may refuse them."""
        context.admitted = [
            context.exchange.admit(CUSTOMER) for _ in range(count)
        ]

    @staticmethod
    @when('it admits {count:d} operations at once')
    def admit_at_once(context: Any, count: int) -> None:
        """Ask to admit operations side by side."""
        tasks = [
            gevent.spawn(context.exchange.admit, CUSTOMER)
            for _ in range(count)
        ]
        gevent.joinall(tasks)
        context.admitted = [t.value for t in tasks]
        assert all(isinstance(a, Success) for a in context.admitted)

    @staticmethod
    @when('{count:d} operations have not run')
    def give_back(context: Any, count: int) -> None:
        """Return admitted operations."""
        for admitted in context.admitted[:count]:
            context.exchange.give_back(admitted.unwrap())

    @staticmethod
    @when('the owner answers again and is asked in the background')
    def recover(context: Any) -> None:
        """Wait for a question that the owner answers."""
        context.peers.is_silent = False
        asked = len(context.peers.questions)
        wait_until(lambda: len(context.peers.questions) > asked)
        gevent.sleep(0.01)
        context.peers.questions.clear()

    @staticmethod
    @then('the owner was asked before the first one only')
    def check_first(context: Any) -> None:
        """Check that the second operation did not wait for the owner."""
        counts = [q.count for q in context.peers.questions]
        assert counts[0] == 1 and not any(counts[1:]), counts

    @staticmethod
    @then('the owner has counted {count:d} operation')
    def check_counted(context: Any, count: int) -> None:
        """Check the operations in the questions."""
        found = sum(q.count for q in context.peers.questions)
        assert found == count, context.peers.questions

    @staticmethod
    @then('the owner was asked at most {count:d} times')
    @then('the owner was asked {count:d} times')
    def check_asked(context: Any, count: int) -> None:
        """Check the number of questions."""
        assert len(context.peers.questions) <= count, context.peers.questions

    @staticmethod
    @then('{count:d} operations were returned to the owner')
    def check_returned(context: Any, count: int) -> None:
        """Check what the questions return."""
        found = sum(q.returned for q in context.peers.questions)
        assert found == count, context.peers.questions

    @staticmethod
    @given('a session of a customer with a limit of {count:d} operations')
    def open_session(context: Any, count: int) -> None:
        """Open a session on a runner that counts statements."""
        clock = FakeClock()
        limit = CustomerLimit(0.0, float(count))
        limits = CustomerLimits('entry', LimitBounds(5.0, 0.0, 4.0 * count))
        customer = Customer(CUSTOMER, 0, limit)
        limits.set_hosts(['entry'], ['entry'], {}, clock.now())
        limits.set_customers({CUSTOMER: customer}, clock.now())
        context.ran = []

        def run(request: Any) -> Result[Reply, Failure]:
            context.ran.append(request)
            return Success(Reply())

        factory = SimpleNamespace(
            admissions=_make_exchange(limits, None, clock),
            clock=clock,
            directory=SimpleNamespace(table=SimpleNamespace(version=1)),
            exchanger=None,
            metrics=DirectMetrics(),
            primary_wait=None,
            commits=None,
            runner=SimpleNamespace(read=run, write=run),
            zone='z1',
        )
        session = CallerSession(factory, 'orders')
        session._customer = lambda: Success(customer)
        session._route = lambda: SimpleNamespace(
            freshness=SimpleNamespace(value='session'), goal_s=1.0, group='g'
        )
        session._make_request = lambda command, prepared, found: (
            SimpleNamespace(run=command, customer=found.name)
        )
        context.session, context.run = session, run

    @staticmethod
    @when('the session runs "{commands}"')
    def run_commands(context: Any, commands: str) -> None:
        """Handle commands, none of which may be refused."""
        for command in commands.split(', '):
            reply = _handle(context, command)
            assert reply.failure is None, (command, reply)

    @staticmethod
    @then('the session\'s next "{command}" is refused for the limit')
    def check_refused(context: Any, command: str) -> None:
        """Check the refusal and its code in the line protocol."""
        context.count = len(context.ran)
        failure = _handle(context, command).failure
        assert isinstance(failure, LimitExceeded), failure
        assert format_failure(failure).startswith('ERR TOOMANY '), failure

    @staticmethod
    @then('no member gets the refused statement')
    def check_unsent(context: Any) -> None:
        """Check that nothing has run since the refusal."""
        assert len(context.ran) == context.count

    @staticmethod
    @then("the session's transaction has failed")
    def check_failed(context: Any) -> None:
        """Check the state that the caller is told."""
        state = context.session.transaction_state
        assert state is TransactionState.FAILED, state


class LimitSettingsSteps:
    """Steps on the settings of the bound."""

    @staticmethod
    @then(
        'the settings bound a window of {window:g} s by {over:g} and {slack:g}'
    )
    def check(context: Any, window: float, over: float, slack: float) -> None:
        """Check the bound."""
        found = context.settings.unwrap().proxy.limit_bounds
        assert found == LimitBounds(window, over, slack), found


def _handle(context: Any, command: str) -> Reply:
    commands = {
        'BEGIN': Begin(False),
        'COMMIT': Commit('q2'),
        'statement': Run('q1', 'WRITE a 1', True),
    }
    reply = context.session.handle(commands[command])
    if command == 'BEGIN':
        context.session._transaction.run = context.run
        context.session._transaction.commit = lambda _: Success(Reply())
    return reply


def _make_limits(
    host: str, live: list[str], limit: CustomerLimit, clock: FakeClock
) -> CustomerLimits:
    limits = CustomerLimits(host, LimitBounds())
    limits.set_hosts(live, ['owner', 'entry'], {}, clock.now())
    limits.set_customers({CUSTOMER: Customer(CUSTOMER, 0, limit)}, clock.now())
    return limits


def _make_exchange(
    limits: CustomerLimits, peers: Any, clock: FakeClock
) -> AdmissionExchange:
    metrics = DirectMetrics()
    return AdmissionExchange(
        'entry', limits, peers, clock, metrics, LimitRefusals(metrics)
    )


def _patch(context: Any, owner: Any, name: str, value: Any) -> None:
    former = vars(owner)[name]
    setattr(owner, name, value)
    context.cleanups.append(lambda: setattr(owner, name, former))


def _patch_plan(context: Any, start: float, takeover: float) -> None:
    of = LimitPlan.of

    def make(limit: CustomerLimit, bounds: LimitBounds) -> LimitPlan:
        plan = of(limit, bounds)
        return LimitPlan(plan.headroom, start, plan.lone, takeover)

    _patch(context, LimitPlan, 'of', staticmethod(make))


def _name(number: int) -> str:
    return f'customer-{number}'


def _owner(context: Any, number: int) -> str:
    return context.fleet.hosts['host-00'].find_owner(_name(number))
