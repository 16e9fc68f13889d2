"""Steps on holders that are cut off from a member."""

from __future__ import annotations

from typing import Any

from behave import given
from behave import then
from behave import when
import gevent
from returns.result import Success

from features.fakes.connection_requests import make_request
from features.fakes.holder_world import HolderWorld
from features.fakes.holder_world import PRIMARY
from trefoilpulley_core.direct.failover import ReachQuestion
from trefoilpulley_core.direct.holder_order import HolderOrder
from trefoilpulley_core.direct.holder_order import HolderSearch
from trefoilpulley_core.direct.holder_order import Refusal
from trefoilpulley_core.direct.session_state import SessionState
from trefoilpulley_core.failure import RunState
from trefoilpulley_node.direct.primary_changer import PrimaryChanger

REFUSALS = {
    'missed': Refusal.MEMBER_MISSED,
    'other': Refusal.OTHER,
    'unreached': Refusal.UNREACHED,
}


class PartitionLoadSteps:
    """Steps on a load during which holders are cut off."""

    @staticmethod
    @given('{holders:d} holders and {others:d} other hosts, seed {seed:d}')
    @given('{holders:d} holders and {others:d} other host, seed {seed:d}')
    @given('{holders:d} holder and {others:d} other hosts, seed {seed:d}')
    @given(
        '{holders:d} holders and {others:d} other hosts for {customers:d} '
        'customers, seed {seed:d}'
    )
    def make(
        context: Any,
        holders: int,
        others: int,
        seed: int,
        customers: int = 0,
    ) -> None:
        """Create the hosts."""
        context.world = HolderWorld(holders, others, customers)
        context.start = context.world.now
        context.seed = seed
        context.results = {}

    @staticmethod
    @when(
        '{rate:d} requests per second arrive at {hosts} while {count:d} '
        'holders are cut off from {since:g} s to {until:g} s'
    )
    def run_load(
        context: Any,
        rate: int,
        hosts: str,
        count: int,
        since: float,
        until: float,
    ) -> None:
        """Run writes and transactions at random hosts."""
        world = context.world
        cut = world.holders[:count]
        world.run_load(
            context.seed,
            {
                'the other hosts': world.others,
                'the cut holders': cut,
                'all hosts': (*world.holders, *world.others),
            }[hosts],
            9.5,
            rate,
            (
                (since, lambda: world.cut.update(cut)),
                (until, world.cut.clear),
            ),
        )

    @staticmethod
    @then(
        'at least {percent:d} % of the requests from {since:g} s to '
        '{until:g} s are served'
    )
    def check_share(
        context: Any, percent: int, since: float, until: float
    ) -> None:
        """Check the share of the requests that arrived in a period."""
        found = PartitionLoadSteps._count(context, since, until)
        assert found['done'] >= percent / 100 * sum(found.values()), found

    @staticmethod
    @then('no request from {since:g} s to {until:g} s is served')
    def check_none(context: Any, since: float, until: float) -> None:
        """Check that the cut applies to all holders."""
        found = PartitionLoadSteps._count(context, since, until)
        assert found and not found['done'], found

    @staticmethod
    @then('no request from {since:g} s to {until:g} s may have run')
    def check_not_run(context: Any, since: float, until: float) -> None:
        """Check that refusals say that nothing has run."""
        found = PartitionLoadSteps._count(context, since, until)
        assert found and not found['outcome-unknown'], found

    @staticmethod
    @then('no host takes the primary for failing')
    def check_no_failing(context: Any) -> None:
        """Check the view by any path of each host."""
        failing = [
            h.name
            for h in context.world.hosts.values()
            if h.health.failing_since is not None
        ]
        assert not failing, failing

    @staticmethod
    @then('no request has run twice')
    def check_once(context: Any) -> None:
        """Check what the primary has run and committed."""
        world = context.world
        assert max(world.runs.values()) == 1, world.runs.most_common(3)
        assert max(world.commits.values()) == 1, world.commits.most_common(3)

    @staticmethod
    def _count(context: Any, since: float, until: float) -> Any:
        start = context.start
        return context.world.count_outcomes(start + since, start + until)


class CutHolderSteps:
    """Steps on single requests while holders fail."""

    @staticmethod
    @given('{count:d} holders that know that they are cut off')
    @given('{count:d} holder that knows that it is cut off')
    def cut_knowing(context: Any, count: int) -> None:
        """Cut holders off and let each check the primary."""
        world = context.world
        context.cut = CutHolderSteps._rank(context)[:count]
        world.cut.update(context.cut)
        for name in context.cut:
            host = world.hosts[name]
            host.pool.on_unreachable(world.now)
        world.dials.clear()

    @staticmethod
    @given('{count:d} holders that are cut off and do not know it')
    def cut_unknowing(context: Any, count: int) -> None:
        """Cut off the holders that follow in rank."""
        known = len(context.cut)
        ranked = CutHolderSteps._rank(context)
        context.world.cut.update(ranked[known : known + count])

    @staticmethod
    @given('the first holder in rank is cut off and does not know it')
    def cut_first(context: Any) -> None:
        """Cut off the holder that the other host uses first."""
        context.first = CutHolderSteps._rank(context)[0]
        context.world.cut.add(context.first)

    @staticmethod
    @given('the first holder in rank is silent')
    def silence_first(context: Any) -> None:
        """Let the first holder answer no message."""
        context.first = CutHolderSteps._rank(context)[0]
        context.world.silent.add(context.first)

    @staticmethod
    @given('the first holder in rank loses the answers of the primary')
    def lose_answers(context: Any) -> None:
        """Let requests of the first holder run without an answer."""
        context.first = CutHolderSteps._rank(context)[0]
        context.world.losing_answers.add(context.first)

    @staticmethod
    @given('no channel can be opened to the first {count:d} holders in rank')
    def close_channels(context: Any, count: int) -> None:
        """Let channels to these holders fail."""
        context.world.unopened.update(CutHolderSteps._rank(context)[:count])

    @staticmethod
    @when('the other host writes, with these holders first in rank')
    @when('the other host writes once')
    def write(context: Any) -> None:
        """Run a write at the first host that is no holder."""
        CutHolderSteps._write(context, 'w')

    @staticmethod
    @when(
        'the other host writes with a timeout of {timeout_s:g} s, with the '
        'holders that know first in rank'
    )
    def write_briefly(context: Any, timeout_s: float) -> None:
        """Run a write of little time."""
        CutHolderSteps._write(context, 'w', timeout_s=timeout_s)

    @staticmethod
    @when('each cut holder writes and the other host writes')
    def write_everywhere(context: Any) -> None:
        """Run a write at each of these hosts."""
        context.callers = {*context.cut, context.world.others[0]}
        for number, name in enumerate(sorted(context.callers)):
            CutHolderSteps._write(context, f'w{number}', name)

    @staticmethod
    @when('the other host runs a transaction')
    def transact(context: Any) -> None:
        """Run a transaction of one write."""
        world = context.world
        host = world.hosts[world.others[0]]

        def run() -> None:
            context.results['w'] = host.transact('w')

        world.run(run)

    @staticmethod
    @when(
        '{count:d} requests of {timeout_s:g} s need a connection of this '
        'holder'
    )
    def dial_briefly(context: Any, count: int, timeout_s: float) -> None:
        """Acquire a connection in less than the dial timeout."""
        world = context.world
        pool = world.hosts[context.first].pool

        def run() -> None:
            for number in range(count):
                assert pool.reach.own.failing_since is None, number
                work = make_request(1, world.now + timeout_s)
                pool.acquire(work, SessionState())

        world.run(run)

    @staticmethod
    @when('the cut ends and the holder checks the primary for {time_s:g} s')
    def end_cut(context: Any, time_s: float) -> None:
        """Run the checks of the holder."""
        world = context.world
        host = world.hosts[context.cut[0]]
        world.cut.clear()
        world.run(lambda: host.check_until(world.now + time_s))

    @staticmethod
    @when('the cut holder has been served through another holder')
    def serve_cut_holder(context: Any) -> None:
        """Run a write at the holder that is cut off."""
        CutHolderSteps._write(context, 'w', context.cut[0])
        assert isinstance(context.results['w'], Success), context.results

    @staticmethod
    @when('the cut holder writes')
    def write_cut(context: Any) -> None:
        """Run a write at the holder that is cut off."""
        CutHolderSteps._write(context, 'w', context.cut[0])

    @staticmethod
    @when('the other host asks the primary for a proof of its leadership')
    def probe(context: Any) -> None:
        """Send a probe, with the cut holders first in rank."""
        world = context.world
        host = world.hosts[world.others[0]]

        def run() -> None:
            context.began_at = world.now
            context.has_proof = host.prober.verify_leader(host.group, PRIMARY)
            context.ended_at = world.now

        world.run(run)

    @staticmethod
    @given('a holder with 2 requests that wait for its only connection')
    def make_waiting(context: Any) -> None:
        """Take the only connection; the others wait for it."""
        world = context.world
        host = context.waiting_at = world.hosts[world.holders[0]]
        host.pool.share.update(1, 1)
        host.pool.share.on_refused(world.now + 3600)
        context.ends = []

        def acquire() -> None:
            work = make_request(1, world.now + 10)
            result = host.pool.acquire(work, SessionState())
            if not isinstance(result, Success):
                context.ends.append((world.now, result.failure()))

        def wait_and_find() -> None:
            gevent.sleep(1)
            assert host.pool.waiting == 2, host.pool.waiting
            world.cut.add(host.name)
            context.found_at = world.now
            host.pool.on_unreachable(world.now)

        context.run_waiting = lambda: world.run(
            acquire, acquire, acquire, wait_and_find
        )

    @staticmethod
    @when('the holder finds that it is cut off')
    def find_cut(context: Any) -> None:
        """Run the requests and let the holder find its cut after 1 s."""
        context.run_waiting()

    @staticmethod
    @when('a host that is cut off writes twice')
    def write_direct(context: Any) -> None:
        """Run two writes at a host with connections of its own."""
        world = context.world
        context.direct = world.others[0]
        world.cut.add(context.direct)
        host = world.hosts[context.direct]
        pool = host.pool
        context.durations = []

        def run() -> None:
            for _ in range(2):
                began_at = world.now
                work = make_request(1, world.now + 1)
                acquired = host.access.acquire(work, SessionState())
                assert not isinstance(acquired, Success), acquired
                context.durations.append(world.now - began_at)

        world.run(run)
        assert not pool.reach.own.is_refusing

    @staticmethod
    def _rank(context: Any) -> tuple[str, ...]:
        """Return the holders as the first other host ranks them."""
        world = context.world
        return world.hosts[world.others[0]].client.holders

    @staticmethod
    def _write(
        context: Any,
        name: str,
        host: str | None = None,
        timeout_s: float = 1.2,
    ) -> None:
        world = context.world
        one = world.hosts[host or world.others[0]]

        def run() -> None:
            context.began_at = world.now
            context.results[name] = one.write(name, timeout_s)
            context.ended_at = world.now

        # No other primary is coming, so that nothing waits for one.
        one.group.state.no_primary_change_until = world.now + 3600
        world.run(run)


class CutResultSteps:
    """Steps on what became of a request, and on what the hosts know."""

    @staticmethod
    @then('the write is served within {limit_ms:d} ms')
    def check_served(context: Any, limit_ms: int) -> None:
        """Check the result and its virtual duration."""
        assert isinstance(context.results['w'], Success), context.results
        duration_s = context.ended_at - context.began_at
        assert 1000 * duration_s <= limit_ms, duration_s

    @staticmethod
    @then('every write is served')
    def check_all_served(context: Any) -> None:
        """Check every result."""
        results = context.results.values()
        assert all(isinstance(r, Success) for r in results), context.results

    @staticmethod
    @then('the write is refused as not run')
    def check_refused(context: Any) -> None:
        """Check the refusal, and that it is true."""
        failure = context.results['w'].failure()
        assert failure.run_state is RunState.NOT_RUN, failure
        assert not context.world.runs, context.world.runs

    @staticmethod
    @then('the outcome of the write is unknown')
    def check_unknown(context: Any) -> None:
        """Check that the failure does not say that nothing has run."""
        failure = context.results['w'].failure()
        assert failure.run_state is RunState.UNKNOWN, failure

    @staticmethod
    @then('the primary has run the write once')
    def check_run_once(context: Any) -> None:
        """Check what the primary has run."""
        assert context.world.runs == {'w': 1}, context.world.runs

    @staticmethod
    @then('the transaction is committed once')
    def check_committed(context: Any) -> None:
        """Check the result and what the primary has run."""
        world = context.world
        assert isinstance(context.results['w'], Success), context.results
        assert (world.runs, world.commits) == ({'w': 1}, {'w': 1})

    @staticmethod
    @then('the {count:d} holders have refused it and 1 holder has served it')
    def check_refusing(context: Any, count: int) -> None:
        """Check the refusals and the request that was served."""
        refused = [holder for holder, _ in context.world.refusals]
        assert sorted(refused) == sorted(context.cut), refused
        assert len(context.world.asked) == count + 1, context.world.asked
        assert not set(context.cut) & set(context.world.dials)

    @staticmethod
    @then('{count:d} holders have refused it')
    def check_refusals(context: Any, count: int) -> None:
        """Check that each holder was asked once."""
        refusals = context.world.refusals
        assert len({holder for holder, _ in refusals}) == count, refusals
        assert len(refusals) == count, refusals
        assert all(answer.is_member_missed for _, answer in refusals)

    @staticmethod
    @then('the holders have dialled no further connection for it')
    def check_no_dials(context: Any) -> None:
        """Check that no request waits for a dial timeout."""
        assert not context.world.dials, context.world.dials

    @staticmethod
    @then('these holders are ranked behind the others, for {time_s:g} s')
    def check_rank(context: Any, time_s: float) -> None:
        """Check the order now and after this time."""
        world = context.world
        client = world.hosts[world.others[0]].client
        assert set(client.holders[-len(context.cut) :]) == set(context.cut)
        world.time.clock.at += time_s
        assert client.holders[: len(context.cut)] == context.cut

    @staticmethod
    @then('the holders have dialled one connection for it, at another holder')
    def check_one_dial(context: Any) -> None:
        """Check that the cut holder has not dialled."""
        dials = context.world.dials
        assert sum(dials.values()) == 1, dials
        assert context.cut[0] not in dials, dials

    @staticmethod
    @then('the proof has come within {limit_ms:d} ms')
    def check_proof(context: Any, limit_ms: int) -> None:
        """Check the proof and its virtual duration."""
        assert context.has_proof
        duration_s = context.ended_at - context.began_at
        assert 1000 * duration_s <= limit_ms, duration_s

    @staticmethod
    @then('both requests are refused at once')
    def check_woken(context: Any) -> None:
        """Check that no request has waited for its turn."""
        times = [at for at, _ in context.ends]
        assert times == [context.found_at] * 2, context.ends
        for _, failure in context.ends:
            assert failure.run_state is RunState.NOT_RUN, failure

    @staticmethod
    @then('only the first holder was asked')
    def check_asked(context: Any) -> None:
        """Check that the request was sent to one holder."""
        asked = [target for _, target in context.world.asked]
        assert asked == [context.first], asked

    @staticmethod
    @then('the next write is served by another holder')
    def check_next(context: Any) -> None:
        """Run a second write."""
        CutHolderSteps._write(context, 'next')
        assert isinstance(context.results['next'], Success), context.results
        assert context.world.asked[-1][1] != context.first

    @staticmethod
    @then('each request was sent by the host of its caller only')
    def check_no_loop(context: Any) -> None:
        """Check that no holder has sent on the request of another host."""
        sources = {source for source, _ in context.world.asked}
        assert sources == context.callers, context.world.asked
        # A holder asks itself first, then the others, each once at most.
        pairs = context.world.asked
        assert len(pairs) == len(set(pairs)), pairs

    @staticmethod
    @then('the holder knows that it is cut off')
    def check_known(context: Any) -> None:
        """Check that the holder refuses from now on."""
        host = context.world.hosts[context.first]
        assert host.pool.reach.own.is_refusing
        assert host.health.failing_since is None

    @staticmethod
    @then('the holder serves requests of the other host again')
    def check_serves(context: Any) -> None:
        """Run a write that the holder is the first in rank for."""
        CutHolderSteps._write(context, 'w')
        assert isinstance(context.results['w'], Success), context.results
        assert context.world.asked[-1][1] == context.cut[0]

    @staticmethod
    @then('the other host takes the primary for failing')
    def check_failing(context: Any) -> None:
        """Check the view of the host that has asked."""
        world = context.world
        assert world.hosts[world.others[0]].health.failing_since is not None

    @staticmethod
    @then('the other host does not take the primary for failing')
    def check_reachable(context: Any) -> None:
        """Check the view of the host that has asked."""
        world = context.world
        assert world.hosts[world.others[0]].health.failing_since is None

    @staticmethod
    @then('the holder takes the primary for failing')
    def check_holder_failing(context: Any) -> None:
        """Check the view of a holder without another path."""
        host = context.world.hosts[context.cut[0]]
        assert host.health.failing_since is not None


class OwnReachSteps:
    """Steps on what a host reaches itself, apart from other paths."""

    @staticmethod
    @then('the cut holder does not take the primary for failing')
    def check_any_path(context: Any) -> None:
        """Check the view by any path."""
        host = context.world.hosts[context.cut[0]]
        assert host.health.failing_since is None
        assert not host.primary_wait.is_lost(host.group)

    @staticmethod
    @then(
        'the cut holder reports in a vote that it does not reach the primary'
    )
    def check_vote(context: Any) -> None:
        """Ask right after an answer through another holder."""
        world = context.world
        vote = world.hosts[context.cut[0]].vote
        question = ReachQuestion('ledger', PRIMARY)
        reports = []
        world.run(lambda: reports.append(vote.on_reach_question(question)))
        assert [r.is_reached for r in reports] == [False], reports

    @staticmethod
    @then('the cut holder still begins a change of the primary')
    def check_change(context: Any) -> None:
        """Run the checks of the holder, beside its callers' requests."""
        world = context.world
        host = world.hosts[context.cut[0]]
        until = world.now + 2

        def write() -> None:
            count = 0
            while world.now < until:
                assert isinstance(host.write(f'v{count}'), Success), count
                gevent.sleep(0.05)
                count += 1

        world.run(lambda: host.check_until(until), write)
        assert host.changer.begun, host.changer.begun

    @staticmethod
    @then('the change of the primary at the cut holder goes on')
    def check_change_goes_on(context: Any) -> None:
        """Check the decision right after an answer through another holder."""
        host = context.world.hosts[context.cut[0]]
        parts = [None] * 9
        changer = PrimaryChanger(host.name, *parts, host.clock)
        assert host.health.failing_since is None
        assert not changer._has_leader(host.group, PRIMARY, {})

    @staticmethod
    @then('both writes have waited for the dial timeout of {timeout_ms:d} ms')
    def check_waits(context: Any, timeout_ms: int) -> None:
        """Check that nothing is refused before a dial."""
        found = [round(1000 * d) for d in context.durations]
        assert found == [timeout_ms] * 2, found
        assert context.world.dials[context.direct] == 2, context.world.dials

    @staticmethod
    @then('the host has asked no other host')
    def check_alone(context: Any) -> None:
        """Check the messages between the hosts."""
        assert not context.world.asked, context.world.asked

    @staticmethod
    @then('the host takes the primary for failing, as itself and by any path')
    def check_both(context: Any) -> None:
        """Check that both facts are the same."""
        host = context.world.hosts[context.direct]
        own = host.pool.reach.own
        assert own.failing_since is not None
        assert host.health.failing_since == own.failing_since


class HolderOrderSteps:
    """Steps on the order of holders and the search of one request."""

    @staticmethod
    @given('a search among {count:d} holders')
    def make_search(context: Any, count: int) -> None:
        """Create the search of a request."""
        names = [f'h{i}' for i in range(count)]
        context.search = HolderSearch(names, count == 1)

    @staticmethod
    @when('the holders answer {refusals}')
    def answer(context: Any, refusals: str) -> None:
        """Refuse the request in this order."""
        for name in refusals.split(', '):
            assert context.search.next_holder() is not None
            context.search.on_refused(REFUSALS[name])

    @staticmethod
    @then('the member counts as {state}')
    def check_state(context: Any, state: str) -> None:
        """Check what the search shows."""
        found = context.search.is_member_unreachable
        assert found == (state == 'unreachable'), found

    @staticmethod
    @then('no further holder is asked')
    def check_end(context: Any) -> None:
        """Check that the search is over, and shows nothing."""
        assert context.search.next_holder() is None
        assert not context.search.is_member_unreachable

    @staticmethod
    @given('holders "a", "b", "c" and "d" in this rank')
    def make_order(context: Any) -> None:
        """Create the order of a host."""
        context.order = HolderOrder()

    @staticmethod
    @when('"a" is silent and "b" reports that it misses the member')
    def fail(context: Any) -> None:
        """Record both failures at the time 0."""
        assert context.order.on_silent('a', 0.0)
        assert context.order.on_missed('b', 0.0)
        assert not context.order.on_missed('b', 0.0)

    @staticmethod
    @then('the order is "{names}"')
    def check_order(context: Any, names: str) -> None:
        """Check the order at once."""
        HolderOrderSteps.check_order_later(context, 0.0, names)

    @staticmethod
    @then('the order after {time_s:g} s is "{names}"')
    def check_order_later(context: Any, time_s: float, names: str) -> None:
        """Check the order after a time."""
        found = context.order.sort('abcd', time_s)
        assert found == tuple(names.split()), found
