"""Steps on the explanation of where a host sends a request."""

from __future__ import annotations

from collections import Counter
from dataclasses import asdict
import json
import random
import socket
from typing import Any
from unittest import mock

from behave import given
from behave import then
from behave import when
from click.testing import CliRunner
import gevent

from features.fakes.asking import execute_once
from features.fakes.route_rig import fingerprint
from features.fakes.route_rig import GROUP
from features.fakes.route_rig import HOST
from features.fakes.route_rig import RouteRig
from features.fakes.route_states import make_state
from trefoilpulley_cli.main import main
from trefoilpulley_cli.route_lines import format_report
from trefoilpulley_core.catalog import Endpoint
from trefoilpulley_core.direct.customer_connections import CloseReason
from trefoilpulley_core.direct.customers import CustomerLimit
from trefoilpulley_core.direct.drain import DrainPhase
from trefoilpulley_core.direct.holder_order import HolderFailure
from trefoilpulley_core.direct.route_report import PathStep
from trefoilpulley_core.direct.route_report import RouteQuery
from trefoilpulley_core.direct.route_report import RouteReport
from trefoilpulley_core.direct.route_report import RouteVerdict
from trefoilpulley_core.failure import Failure
from trefoilpulley_core.position import Position
from trefoilpulley_node.direct.access_preview import preview_access
from trefoilpulley_node.direct.pooled_session import PooledSession
from trefoilpulley_node.events import Event
from trefoilpulley_platform.readiness_server import MetricsServer
from trefoilpulley_platform.readiness_server import ROUTE_PATH

WORK = {
    'read': (False, False),
    'write': (True, False),
    'read-only transaction': (False, True),
    'transaction that may write': (True, True),
}
"""Whether work writes and whether it is a transaction, by its name."""

POSITION = Position(1, 10)
"""Position of the primary 1 s ago, which the replicas hold."""


class HostStateSteps:
    """Steps on the state of the host."""

    @staticmethod
    @given('a host of zone "a" with the members "{members}"')
    def make(context: Any, members: str) -> None:
        """Create a host that knows ``NAME ZONE``; the first is primary."""
        rig = context.rig = RouteRig()
        context.members = dict(m.split() for m in members.split(', '))
        rig.configure()
        rig.add_members(context.members)
        state = rig.group.state
        state.evidence.record(rig.clock.at - 1.0, POSITION)
        for health in state.members.values():
            health.position = POSITION

    @staticmethod
    @given('a host without a configuration')
    def make_empty(context: Any) -> None:
        """Create a host that has just started."""
        context.rig = RouteRig()

    @staticmethod
    @given('the positions of the primary are {age:d} s old')
    def age_evidence(context: Any, age: int) -> None:
        """Let time pass without evidence."""
        context.rig.clock.at += age - 1

    @staticmethod
    @given('"{one}" and "{other}" answer in {latency:d} ms')
    def slow_down_two(
        context: Any, one: str, other: str, latency: int
    ) -> None:
        """Set the latencies of two members."""
        HostStateSteps.slow_down(context, one, latency)
        HostStateSteps.slow_down(context, other, latency)

    @staticmethod
    @given('"{member}" answers in {latency:d} ms')
    def slow_down(context: Any, member: str, latency: int) -> None:
        """Set the latency of a member."""
        health = context.rig.group.state.members[member]
        health.latency_s = latency / 1000
        health.last_served_at = context.rig.clock.at

    @staticmethod
    @given('"{member}" lacked a floor of {age:d} ms just now')
    def lag(context: Any, member: str, age: int) -> None:
        """Record that a replica refused a read for lag."""
        health = context.rig.group.state.members[member]
        health.on_floor_missing(age / 1000, context.rig.clock.at)

    @staticmethod
    @given('"{member}" holds the position {position}')
    def catch_up(context: Any, member: str, position: str) -> None:
        """Set the highest position that a member has reported."""
        term, _, index = position.partition('.')
        health = context.rig.group.state.members[member]
        health.position = Position(int(term), int(index))

    @staticmethod
    @given('"{member}" has recovered just now')
    def pace(context: Any, member: str) -> None:
        """Pace a member after a failure."""
        rig = context.rig
        health = rig.group.state.members[member]
        for _ in range(10):
            health.pace.on_served('orders', 0.02, rig.clock.at)
        health.on_unreachable(rig.clock.at)
        health.on_answer(rig.clock.at, POSITION)

    @staticmethod
    @given('"{member}" has not answered for {since:d} ms')
    def fail(context: Any, member: str, since: int) -> None:
        """Record that a member is unreachable."""
        health = context.rig.group.state.members[member]
        health.on_unreachable(context.rig.clock.at - since / 1000)

    @staticmethod
    @given('"{member}" is about to stop')
    def leave(context: Any, member: str) -> None:
        """Record that a member announced its stop."""
        context.rig.add_members(context.members, {member})

    @staticmethod
    @given('no change of the primary is expected for {time:d} s')
    def expect_no_change(context: Any, time: int) -> None:
        """Record that no member may be promoted."""
        state = context.rig.group.state
        state.no_primary_change_until = context.rig.clock.at + time

    @staticmethod
    @given('the host is in the phase "{phase}" of a stop')
    def drain(context: Any, phase: str) -> None:
        """Enter a phase of a planned stop."""
        context.rig.sessions.enter(DrainPhase[phase])


class ConnectionStateSteps:
    """Steps on the connections, queues and holders of the host."""

    @staticmethod
    @given('the queue for "{member}" is full')
    def fill(context: Any, member: str) -> None:
        """Put as much work in the queue as it may hold."""
        ConnectionStateSteps.use(context, member)
        context.rig.fill_queue(member, '', 200)

    @staticmethod
    @given('this host has an idle connection to "{member}"')
    def open_idle(context: Any, member: str) -> None:
        """Open a connection and return it to the pool."""
        pool = context.rig.group.accesses[member].local_pool
        pool.release(context.rig.hold(member, '', 1)[0])

    @staticmethod
    @given('all statements that "{member}" may have in flight are in flight')
    def use(context: Any, member: str) -> None:
        """Use up the limit of the statements in flight."""
        pool = context.rig.group.accesses[member].local_pool
        pool.in_flight = pool.in_flight_limit.value

    @staticmethod
    @given('a deployment of {hosts:d} hosts')
    def add_hosts(context: Any, hosts: int) -> None:
        """Add hosts in the zones; the first one is the host."""
        names = [f'h{n}' for n in range(1, hosts)]
        zones = {'a': names[::2], 'b': names[1::2]}
        zones['c'] = [HOST]
        context.rig.set_hosts({z: tuple(h) for z, h in zones.items()})

    @staticmethod
    @given('the first holder of "{customer}" did not answer')
    def lose_holder(context: Any, customer: str) -> None:
        """Record that a holder of the member did not answer."""
        client = context.rig.group.accesses['r']._relay_client
        context.holder = client.holders_for(customer)[0]
        client.on_holder_timeout(context.holder)

    @staticmethod
    @given('the first holder of "{customer}" does not reach "{member}"')
    def cut_off_holder(context: Any, customer: str, member: str) -> None:
        """Record that a holder reported the member as unreachable."""
        client = context.rig.group.accesses[member]._relay_client
        context.holder = client.holders_for(customer)[0]
        client.on_member_missed(context.holder)

    @staticmethod
    @given('a deployment of {hosts:d} hosts, {holders:d} of them in zone "a"')
    def add_holders(context: Any, hosts: int, holders: int) -> None:
        """Add hosts; this host and all others of zone a are holders."""
        names = [f'h{n}' for n in range(1, hosts)]
        zones = {'a': (HOST, *names[: holders - 1])}
        zones['b'] = tuple(names[holders - 1 :])
        context.rig.set_hosts(zones)

    @staticmethod
    @given('this host, a holder, does not reach "{member}"')
    def cut_off(context: Any, member: str) -> None:
        """Record that the member does not answer this host itself."""
        pool = context.rig.group.accesses[member].local_pool
        pool.on_unreachable(context.rig.clock.at)
        assert pool.reach.own.is_refusing
        assert pool.health.failing_since is None


class LimitStateSteps:
    """Steps on the customers and their limits."""

    @staticmethod
    @given('the deployment has the customers "{customers}"')
    def configure(context: Any, customers: str) -> None:
        """Configure ``NAME RATE`` or ``NAME``."""
        limits = {}
        for entry in customers.split(', '):
            name, _, rate = entry.partition(' ')
            limits[name] = CustomerLimit(int(rate), 0) if rate else None
        context.rig.configure(limits)

    @staticmethod
    @given('"{customer}" has used up its limit')
    def use_up(context: Any, customer: str) -> None:
        """Empty the bucket."""
        rig = context.rig
        rig.clock.at += 10
        rig.limits.count_tokens(customer, rig.clock.at)
        rig.limits._owned[customer].bucket.tokens = 0.0
        rig.group.state.evidence.record(rig.clock.at - 1.0, POSITION)

    @staticmethod
    @given('another host owns the limit of "{customer}"')
    def move(context: Any, customer: str) -> None:
        """Add hosts until one of them owns the limit."""
        names = [HOST]
        while context.rig.limits.find_owner(customer) == HOST:
            names.append(f'h{len(names)}')
            context.rig.set_hosts({'a': tuple(names)})

    @staticmethod
    @given('the owner has refused operations of "{customer}" for {time:d} ms')
    def refuse(context: Any, customer: str, time: int) -> None:
        """Record the refusal of the owner."""
        questions = context.rig.admissions._questions_of(customer)
        questions.refused_until = context.rig.clock.at + time / 1000


class ExplanationSteps:
    """Steps on the explanation of one request."""

    @staticmethod
    @when('the route of a "{database}" {work} is explained')
    def explain(context: Any, database: str, work: str) -> None:
        """Ask the host, which must not change."""
        work, _, rest = work.partition(' of ')
        is_write, is_transaction = WORK[work]
        floor = None
        customer = rest.strip('"')
        if rest.startswith('a session that wrote '):
            customer = ''
            floor = Position(*map(int, rest.split()[-1].split('.')))
        context.query = RouteQuery(
            database, customer, is_write, is_transaction, floor
        )
        context.report = explain_unchanged(context.rig, context.query)

    @staticmethod
    @then('the request is "{verdict}" to "{member}" for "{reasons}"')
    def check_choice(
        context: Any, verdict: str, member: str, reasons: str
    ) -> None:
        """Check the member and the reasons."""
        report = context.report
        assert report.verdict == verdict, report
        assert report.member == member, report
        assert list(report.reasons) == reasons.split(), report
        chosen = [m.member for m in report.members if m.is_chosen]
        assert chosen == [member], report

    @staticmethod
    @then('"{member}" is not eligible because it is "{obstacle}"')
    def check_obstacle(context: Any, member: str, obstacle: str) -> None:
        """Check why a member can't serve the request."""
        found = {m.member: m.obstacle for m in context.report.members}
        assert found[member] == obstacle, context.report

    @staticmethod
    @then('the request waits for a primary')
    def check_waiting(context: Any) -> None:
        """Check that a wait for a primary is told."""
        assert context.report.verdict is RouteVerdict.WAITING, context.report
        assert context.report.waits_ms > 0, context.report

    @staticmethod
    @then('the request is refused for "{reason}" with "{code}"')
    def check_refusal(context: Any, reason: str, code: str) -> None:
        """Check the reason and the code of the refusal."""
        report = context.report
        assert report.verdict is RouteVerdict.REFUSED, report
        assert report.refusal.reason == reason, report
        assert report.refusal.code == code, report
        assert report.member is None, report

    @staticmethod
    @then('another attempt may succeed after {time:d} ms')
    def check_retry(context: Any, time: int) -> None:
        """Check when to retry."""
        refusal = context.report.refusal
        assert refusal.retry_ms == time, refusal

    @staticmethod
    @then('the answer does not contain "{text}"')
    def check_absent(context: Any, text: str) -> None:
        """Check that a possible key is not repeated."""
        assert text not in json.dumps(asdict(context.report))

    @staticmethod
    @then('the path is "{step}"')
    def check_path(context: Any, step: str) -> None:
        """Check how the request gets a connection."""
        assert context.report.paths[-1].step == step, context.report

    @staticmethod
    @then('no holder is passed over')
    def check_holders(context: Any) -> None:
        """Check that holders are told, in the order of their rank."""
        path = context.report.paths[-1]
        assert len(path.holders) > 1, path
        assert not any(h.is_passed_over for h in path.holders), path
        assert not any(h.failure for h in path.holders), path
        assert not path.is_cut_off, path

    @staticmethod
    @then('the holder that did not answer is passed over')
    def check_passed_over(context: Any) -> None:
        """Check that the holder comes last, and why."""
        check_last(context.report, context.holder, HolderFailure.SILENT)

    @staticmethod
    @then('the holder that does not reach the member is passed over')
    def check_cut_off_holder(context: Any) -> None:
        """Check that the holder comes last, and why."""
        check_last(context.report, context.holder, HolderFailure.CUT_OFF)

    @staticmethod
    @then('the answer tells that this host does not reach "{member}"')
    def check_cut_off(context: Any, member: str) -> None:
        """Check that other holders are tried, and this host is the last."""
        path = context.report.paths[-1]
        assert path.member == member, path
        assert path.is_cut_off, path
        line = format_path(context.report)
        assert 'this host does not reach the member' in line, line
        tried = [h.host for h in path.holders if h.is_tried]
        assert len(tried) > 1, path
        others = [h for h in path.holders if h.host != HOST]
        assert not any(h.failure for h in others), path
        if others != list(path.holders):
            assert path.holders[:-1] == tuple(others), path
            assert path.holders[-1].failure is HolderFailure.CUT_OFF, path

    @staticmethod
    @then('the answer tells the expected wait')
    def check_wait(context: Any) -> None:
        """Check the queue of the last path."""
        queue = context.report.paths[-1].queue
        assert queue.expected_wait_ms > 0, context.report
        is_late = queue.expected_wait_ms > queue.allowed_wait_ms
        is_refused = context.report.verdict is RouteVerdict.REFUSED
        assert is_late == is_refused, context.report

    @staticmethod
    @then('the answer tells that the owner would be asked')
    def check_owner(context: Any) -> None:
        """Check that the owner is named and its bucket is unknown."""
        limit = context.report.limit
        assert limit.is_owner_asked, limit
        assert limit.is_admitted, limit
        assert limit.owner not in (None, HOST), limit
        assert limit.left is None, limit


class AgreementSteps:
    """Steps that compare the explanation with what the host then does."""

    @staticmethod
    @then('the host does the same with the request')
    def check(context: Any) -> None:
        """Send the request and compare."""
        failure = context.rig.send(context.query)
        check_agreement(context.rig, context.query, context.report, failure)

    @staticmethod
    @then(
        'the answers agree with the host in the states of the seeds '
        '{first:d} to {last:d}'
    )
    def check_seeds(context: Any, first: int, last: int) -> None:
        """Explain and send a request in each state."""
        verdicts: Counter[str] = Counter()
        steps: Counter[str] = Counter()
        failures: Counter[str] = Counter()
        cut_off: Counter[str] = Counter()
        for seed in range(first, last + 1):
            rig, query = make_state(seed)
            report = explain_unchanged(rig, query)
            failure = rig.send(query)
            try:
                check_agreement(rig, query, report, failure)
            except AssertionError as exc:
                raise AssertionError(f'seed {seed}: {exc}') from exc
            verdicts[report.verdict] += 1
            steps.update(p.step for p in report.paths)
            cut_off.update(p.step for p in report.paths if p.is_cut_off)
            holders = [h for p in report.paths for h in p.holders]
            failures.update(h.failure for h in holders if h.failure)
        # A state of each kind was compared.
        assert set(verdicts) == set(RouteVerdict), verdicts
        assert set(steps) == set(PathStep), steps
        assert set(failures) == set(HolderFailure), failures
        assert cut_off[PathStep.HOLDERS], cut_off


class CopySteps:
    """Steps that use the copy of an access."""

    @staticmethod
    @then(
        'the use of a copied access to "{member}" changes nothing at the host'
    )
    def check(context: Any, member: str) -> None:
        """Call what closes, opens, wakes and reports at the original."""
        rig = context.rig
        rig.actions.clear()
        access = rig.group.accesses[member]
        before = fingerprint(rig)
        copied = preview_access(access)
        pool, client = copied.local_pool, copied._relay_client
        now = rig.clock.at
        with (
            mock.patch.object(Event, 'log', autospec=True) as log,
            mock.patch.object(PooledSession, 'close', autospec=True) as close,
        ):
            pool._dial(now + 1, '', pool._connections.oldest_idle)
            pool.on_unreachable(now)
            pool.reach.on_answer(now, Position(9, 9))
            pool._on_dial_failed(now)
            client.on_member_unreachable()
            client.on_overloaded()
            client._order.on_missed(HOST, now)
            client._order.on_silent(HOST, now)
            client.holders_for('weavers')
            # These need the idle connection, which was evicted above.
            preview_access(access).close()
            preview_access(access).maintain(now + 1000, False)
            pool = preview_access(access).local_pool
            conn = pool._connections.oldest_idle
            pool._close_connection(conn, CloseReason.BROKEN)
            gevent.sleep(0)
        assert not log.called, log.mock_calls
        assert not close.called, close.mock_calls
        assert not rig.actions, rig.actions
        assert before == fingerprint(rig)
        lanes = access.local_pool._queue._lanes.values()
        handles = [work.handle for lane in lanes for work in lane]
        assert handles
        assert not any(h.mock_calls for h in handles), handles


class QuerySteps:
    """Steps on the queries of the HTTP server, without a network."""

    @staticmethod
    @when('the host is asked ""')
    def ask_nothing(context: Any) -> None:
        """Send an empty query."""
        context.answer = ask(context.rig, '')

    @staticmethod
    @when('the host is asked "{query}" by "{method}"')
    def ask_by(context: Any, query: str, method: str) -> None:
        """Send a query with another method."""
        context.answer = ask(context.rig, query, method)

    @staticmethod
    @when('the host is asked "{query}"')
    def ask(context: Any, query: str) -> None:
        """Send a query."""
        context.answer = ask(context.rig, query)

    @staticmethod
    @when('the host is asked a query of {length:d} characters')
    def ask_long(context: Any, length: int) -> None:
        """Send a long query."""
        query = 'database=' + length * 'a'
        context.answer = ask(context.rig, query[:length])

    @staticmethod
    @then('the answer has the status {status:d} and the fault "{fault}"')
    def check_fault(context: Any, status: int, fault: str) -> None:
        """Check the refusal, which repeats no value of the query."""
        assert context.answer[0] == status, context.answer
        failure = json.loads(context.answer[1])['failure']
        assert failure['code'] == 'invalid-query', failure
        assert fault in failure['detail'], failure
        assert b'secret-key' not in context.answer[1]

    @staticmethod
    @then('the answer has the status {status:d}')
    def check_status(context: Any, status: int) -> None:
        """Check the status alone."""
        assert context.answer[0] == status, context.answer

    @staticmethod
    @then(
        'the host answers {count:d} random queries of seed {seed:d} with 200 '
        'or 400'
    )
    def check_random(context: Any, count: int, seed: int) -> None:
        """Send queries of random pieces."""
        rng = random.Random(seed)
        pieces = (
            *('database', 'customer', 'floor', 'write', 'transaction'),
            *('floor_age_ms', 'orders', '=', '=', '=', '&', '&', '1', '1.2'),
            *('%', '%00', '%ff', '+', ';', '\xff', '-', '9' * 30, 'e', '#'),
        )
        statuses: Counter[int] = Counter()
        before = fingerprint(context.rig)
        for _ in range(count):
            rest = ''.join(rng.choices(pieces, k=rng.randint(0, 9)))
            start = rng.choice(('', 'database=orders', 'database=orders&'))
            statuses[ask(context.rig, start + rest)[0]] += 1
        assert set(statuses) == {200, 400}, statuses
        assert fingerprint(context.rig) == before


class CommandSteps:
    """Steps on the command line and a host over loopback."""

    @staticmethod
    @given('host {host:d} serves its state over HTTP')
    def serve(context: Any, host: int) -> None:
        """Start the HTTP server of a host."""
        proxy = context.deployment.hosts[host].proxy
        server = MetricsServer(Endpoint('127.0.0.1', 0), '/metrics', proxy)
        server.start()
        context.cleanups.append(server._server.stop)
        context.address = f'127.0.0.1:{server._server.server_port}'

    @staticmethod
    @when('the command "{arguments}" asks host 0')
    def run(context: Any, arguments: str) -> None:
        """Run a command with the address of the host."""
        context.result = CliRunner().invoke(
            main, [*arguments.split(), '--address', context.address]
        )

    @staticmethod
    @when('the command "{arguments}" asks an address where nothing listens')
    def run_alone(context: Any, arguments: str) -> None:
        """Run a command with an address that is reserved and not used."""
        with socket.socket() as sock:
            sock.bind(('127.0.0.1', 0))
            context.address = f'127.0.0.1:{sock.getsockname()[1]}'
            CommandSteps.run(context, arguments)

    @staticmethod
    @when('host 0 receives bytes that are no HTTP')
    def send_bytes(context: Any) -> None:
        """Send malformed requests on connections of their own."""
        address, _, port = context.address.rpartition(':')
        for data in (
            b'\x00\xff\r\n\r\n',
            b'GET /route?%zz&\xff HTTP/1.1\r\n\r\n',
            b'GET /route?database=' + 70000 * b'a' + b' HTTP/1.1\r\n\r\n',
        ):
            with socket.create_connection((address, int(port))) as sock:
                sock.sendall(data)
                sock.shutdown(socket.SHUT_WR)
                try:
                    while sock.recv(4096):
                        pass
                except ConnectionResetError:
                    pass

    @staticmethod
    @then('the command has printed one document with the verdict "{verdict}"')
    def check_document(context: Any, verdict: str) -> None:
        """Check the JSON on standard output."""
        assert context.result.exit_code == 0, context.result.output
        context.document = json.loads(context.result.stdout)
        assert context.document['verdict'] == verdict, context.document
        assert context.document['route']['group'] == GROUP, context.document

    @staticmethod
    @then('the member in it is the one that runs a write through host 0')
    def check_member(context: Any) -> None:
        """Run a write and compare the signature of the member."""
        answer = execute_once(context, 'orders', 0, 'WRITE item data')
        member = context.document['member']
        assert answer.code == 'DONE', answer
        assert answer.signature.startswith(f'sig.{member}'), answer

    @staticmethod
    @then('the command has exited with {code:d} and printed "{text}"')
    def check_output(context: Any, code: int, text: str) -> None:
        """Check the exit code and the output."""
        assert context.result.exit_code == code, context.result.output
        assert text in context.result.output, context.result.output


def explain_unchanged(rig: RouteRig, query: RouteQuery) -> RouteReport:
    """Return the explanation; the host must neither act nor change."""
    rig.actions.clear()
    before = fingerprint(rig)
    report = rig.explain(query)
    assert not rig.actions, rig.actions
    assert not rig.asked, rig.asked
    after = fingerprint(rig)
    assert before == after
    json.dumps(asdict(report), allow_nan=False)
    return report


def check_agreement(
    rig: RouteRig,
    query: RouteQuery,
    report: RouteReport,
    failure: Failure | None,
) -> None:
    """Compare an explanation with what the host has done."""
    found = (report, rig.actions, rig.tried, rig.asked, failure)
    paths = [p.member for p in report.paths]
    if query.is_write and not query.is_transaction:
        # A write that the queue refuses is tried again at the primary.
        assert set(rig.tried) == set(paths), found
    else:
        assert rig.tried[: len(paths)] == paths, found
    if report.limit is not None and report.limit.is_owner_asked:
        assert rig.asked == [report.limit.owner], found
    else:
        assert not rig.asked, found
    expected = list_expected(report)
    assert rig.actions[: len(expected)] == expected, (expected, found)
    if report.verdict is RouteVerdict.REFUSED:
        assert rig.actions == [], found
        assert len(rig.tried) >= len(paths), found
        assert failure is not None, found
        assert failure.code == report.refusal.code, found
    elif report.verdict is RouteVerdict.SENT:
        if report.paths[-1].step is not PathStep.HOLDERS:
            assert failure is None, found


def format_path(report: RouteReport) -> str:
    """Return the line of the last path in the output of the command."""
    return format_report(json.loads(json.dumps(asdict(report))))[-1]


def check_last(
    report: RouteReport, holder: str, failure: HolderFailure
) -> None:
    """Check that one holder alone has failed and comes last."""
    path = report.paths[-1]
    passed_over = [h.host for h in path.holders if h.is_passed_over]
    assert passed_over == [holder], path
    assert path.holders[-1].host == holder, path
    found = {h.host: h.failure for h in path.holders if h.failure}
    assert found == {holder: failure}, path
    line = format_path(report)
    assert f'{holder} (passed over, {failure}' in line, line
    assert not path.is_cut_off, path


def list_expected(report: RouteReport) -> list[tuple[str, Any]]:
    """Return what the host does first according to an explanation."""
    if report.verdict is RouteVerdict.WAITING:
        return [('wait', report.waits_ms)]
    if report.verdict is RouteVerdict.QUEUED:
        return [('queue', report.member)]
    if report.verdict is RouteVerdict.REFUSED:
        return []
    path = report.paths[-1]
    if path.step is PathStep.HOLDERS:
        tried = [h.host for h in path.holders if h.is_tried]
        if HOST in tried:
            # What the host does as a holder depends on those before it.
            tried = tried[: tried.index(HOST)]
        return [('holder', host) for host in tried]
    expected = [('exchange', report.member)]
    if path.step is PathStep.NEW_CONNECTION:
        expected.insert(0, ('dial', report.member))
    return expected


class _RouteProxy:
    """What the HTTP server needs of a host."""

    def __init__(self, rig: RouteRig) -> None:
        self.routes = rig.explainer


def ask(rig: RouteRig, query: str, method: str = 'GET') -> tuple[int, bytes]:
    """Return the status and the body of an answer, without a network."""
    server = MetricsServer(
        Endpoint('127.0.0.1', 0), '/metrics', _RouteProxy(rig)
    )
    statuses: list[str] = []
    body = server._handle_request(
        {
            'REQUEST_METHOD': method,
            'PATH_INFO': ROUTE_PATH,
            'QUERY_STRING': query,
        },
        lambda status, headers: statuses.append(status),
    )
    return int(statuses[0].split()[0]), b''.join(body)
