"""Steps for caller sessions on the emulated platform."""

from __future__ import annotations

from typing import Any

from behave import given
from behave import then
from behave import when
import gevent

from features.fakes.asking import execute_once
from features.fakes.asking import HANG_TIMEOUT_S
from features.fakes.asking import POLL_INTERVAL_S
from features.fakes.asking import wait_until
from trefoilpulley_core.direct.drain import DrainPhase
from trefoilpulley_emulator.caller import Caller
from trefoilpulley_emulator.caller import CallerAnswer
from trefoilpulley_emulator.deployment import EmulatedDeployment


CHANGE_INTERVAL_S = 0.03
"""Pause between two changes, in seconds.

The hosts have renewed their watches by the next change.
"""


class DeploymentSteps:
    """Steps for the emulated deployment and its faults."""

    @staticmethod
    @given('an emulated deployment of {hosts:d} hosts')
    def start_deployment(context: Any, hosts: int) -> None:
        """Start a deployment and wait until every host serves reads."""
        context.deployment = EmulatedDeployment(hosts)
        context.cleanups.append(context.deployment.stop)
        context.deployment.start()
        for host in range(hosts):
            wait_until(
                lambda host=host: (
                    execute_once(context, 'orders', host, 'READ none').code
                    == 'DONE'
                )
            )

    @staticmethod
    @then('the state of host {host:d} lists each member and its connections')
    def check_state_dump(context: Any, host: int) -> None:
        """Check the members and their connections in the state dump."""
        state = context.deployment.hosts[host].proxy.dump()
        members = state.groups[0].members
        assert len(members) == 3, members
        assert sum(m.connections for m in members) > 0, members
        assert all(m.share > 0 for m in members), members

    @staticmethod
    @when('the configuration has only the databases "{one}" and "{other}"')
    def set_databases(context: Any, one: str, other: str) -> None:
        """Write a configuration with two databases to the store."""
        context.deployment.configure({one: 'primary', other: 'session'})

    @staticmethod
    @when('a read takes {took:d} ms at the primary')
    def slow_down_primary(context: Any, took: int) -> None:
        """Set the duration of a read at the primary."""
        context.deployment.group.primary.read_duration_s = took / 1000

    @staticmethod
    @when('the primary crashes')
    def crash_primary(context: Any) -> None:
        """Stop the primary without changing its entry."""
        group = context.deployment.group
        group.crash(group.primary.state.member)

    @staticmethod
    @given('the group requires {count:d} replica to confirm a commit')
    def require_synchronous_replicas(context: Any, count: int) -> None:
        """Configure synchronous replicas and wait until the hosts know."""
        deployment = context.deployment
        deployment.synchronous_replicas = count
        deployment.configure({'orders': 'session', 'filings': 'primary'})
        for host in deployment.hosts:
            directory = host.proxy.directory
            wait_until(
                lambda d=directory: (
                    d.groups['ledger'].synchronous_replicas == count
                )
            )

    @staticmethod
    @when('every member crashes')
    def crash_all(context: Any) -> None:
        """Stop all members without changing their entries."""
        group = context.deployment.group
        for member in group.servers:
            group.crash(member)

    @staticmethod
    @when('a replica crashes')
    def crash_replica(context: Any) -> None:
        """Stop a replica without changing its entry."""
        group = context.deployment.group
        primary = group.primary.state.member
        context.replica = next(m for m in group.servers if m != primary)
        group.crash(context.replica)

    @staticmethod
    @when('the replica restarts')
    def restart_replica(context: Any) -> None:
        """Restart the crashed replica at its previous address."""
        context.deployment.group.servers[context.replica].start()

    @staticmethod
    @then('no promotion is requested while the replica is down')
    def check_no_promotion(context: Any) -> None:
        """Let every host try the failover; none may request a promotion."""
        for host in context.deployment.hosts:
            group = host.proxy.directory.groups['ledger']
            wait_until(lambda g=group: g.state.primary in g.state.members)
            for _ in range(3):
                host.proxy.changer.fail_over(group, group.state.primary)
        assert not context.deployment.promotion_server.requests

    @staticmethod
    @then('both replicas were told to pause replication')
    def check_replication_paused(context: Any) -> None:
        """Check that two members received ``HOLD``."""
        servers = context.deployment.group.servers.values()
        paused = [
            s
            for s in servers
            if any('HOLD' in t for _, t in s.received_requests)
        ]
        assert len(paused) == 2, paused

    @staticmethod
    @when('the primary announces that it will stop')
    def announce_primary_stop(context: Any) -> None:
        """Announce in the primary's entry that it is about to stop."""
        group = context.deployment.group
        context.old_primary = group.primary.state.member
        group.announce_stop(context.old_primary)

    @staticmethod
    @when('the primary withholds its next {count:d} answers')
    def withhold_answers(context: Any, count: int) -> None:
        """Let the primary run statements without answering."""
        context.deployment.group.primary.answers_to_withhold = count

    @staticmethod
    @when('the primary withholds its next answer')
    def withhold_answer(context: Any) -> None:
        """Let the primary run the next statement without answering."""
        context.deployment.group.primary.answers_to_withhold = 1

    @staticmethod
    @when('the store becomes unavailable')
    def take_store_down(context: Any) -> None:
        """Let the store refuse every call."""
        context.deployment.store.is_down = True

    @staticmethod
    @when('the store discards its history')
    def discard_history(context: Any) -> None:
        """Let the store end watches of earlier revisions."""
        context.deployment.store.discard_history()

    @staticmethod
    @when('the store contains invalid member entries')
    def put_invalid_entries(context: Any) -> None:
        """Write an entry that is not JSON and one with invalid fields."""
        store = context.deployment.store
        store.put('servers/broken', b'\xff\xfe')
        store.put('servers/odd', {'service': 'ledger', 'state': 7})

    @staticmethod
    @then('exactly one promotion was accepted')
    def check_one_promotion(context: Any) -> None:
        """Check that exactly one promotion request was accepted."""
        requests = context.deployment.promotion_server.requests
        accepted = [r for r in requests if r[3] == 200]
        assert len({r[1] for r in accepted}) == 1, requests
        assert len(accepted) == 1, requests

    @staticmethod
    @then('another member eventually becomes primary')
    def wait_new_primary(context: Any) -> None:
        """Wait until a member other than the old primary is primary."""
        group = context.deployment.group
        wait_until(
            lambda: (
                group.log.primary is not None
                and group.log.primary.member != context.old_primary
            )
        )

    @staticmethod
    @then('no commit was rolled back')
    def check_no_rollback(context: Any) -> None:
        """Check that no commit was removed from a log."""
        assert not context.deployment.group.log.rolled_back


class CallerSteps:
    """Steps for the requests of callers and their answers."""

    @staticmethod
    @when(
        'a caller of "{database}" writes "{data}" to "{item}" through host '
        '{host:d}'
    )
    @then(
        'a caller of "{database}" writes "{data}" to "{item}" through host '
        '{host:d}'
    )
    def write(
        context: Any, database: str, item: str, data: str, host: int
    ) -> None:
        """Write in a session that stays open."""
        context.caller = context.deployment.hosts[host].connect(database)
        context.cleanups.append(context.caller.close)
        context.answers = [context.caller.execute(f'WRITE {item} {data}')]
        assert context.answers[0].code == 'DONE', context.answers

    @staticmethod
    @then('the same caller reads "{data}" from "{item}"')
    def check_same_session_read(context: Any, item: str, data: str) -> None:
        """Read in the session of the last write and compare the data."""
        answer = context.caller.execute(f'READ {item}')
        context.answers.append(answer)
        assert answer.rows == (data,), answer

    @staticmethod
    @then(
        'a caller of "{database}" reads "{data}" from "{item}" through host '
        '{host:d}'
    )
    def check_read(
        context: Any, database: str, item: str, data: str, host: int
    ) -> None:
        """Read in a new session and compare the data."""
        answer = execute_once(context, database, host, f'READ {item}')
        assert answer.rows == (data,), answer

    @staticmethod
    @then('every answer has the signature of a member')
    def check_signatures(context: Any) -> None:
        """Check that each answer came from a member of the group."""
        for answer in context.answers:
            assert answer.signature.startswith('sig.ledger-'), answer

    @staticmethod
    @when('a caller of "{database}" reads {count:d} times through host 0')
    def read_repeatedly(context: Any, database: str, count: int) -> None:
        """Read repeatedly in one session."""
        caller = context.deployment.hosts[0].connect(database)
        context.cleanups.append(caller.close)
        answers = [caller.execute('READ a') for _ in range(count)]
        assert all(a.code == 'DONE' for a in answers), answers
        context.answers = answers

    @staticmethod
    @then('replicas have answered some of the reads')
    def check_replica_reads(context: Any) -> None:
        """Check that a member other than the primary answered a read."""
        primary = context.deployment.group.primary.state.member
        served = {a.signature.split('.')[1] for a in context.answers}
        assert served - {primary}, served

    @staticmethod
    @then(
        'a caller of "{database}" is rejected with "{code}" at host {host:d}'
    )
    def check_rejected(
        context: Any, database: str, code: str, host: int
    ) -> None:
        """Compare the error code of a new session."""
        assert execute_once(context, database, host, 'READ a').code == code

    @staticmethod
    @then('a caller of "{database}" is eventually served at host {host:d}')
    def wait_served(context: Any, database: str, host: int) -> None:
        """Wait until a read of the database succeeds."""
        wait_until(
            lambda: (
                execute_once(context, database, host, 'READ a').code == 'DONE'
            )
        )

    @staticmethod
    @then('a caller of "{database}" is eventually rejected at host {host:d}')
    def wait_rejected(context: Any, database: str, host: int) -> None:
        """Wait until a session to the database gets ``NODB``."""
        wait_until(
            lambda: (
                execute_once(context, database, host, 'READ a').code == 'NODB'
            )
        )

    @staticmethod
    @then(
        'a caller of "{database}" can eventually write "{item}" through '
        'host {host:d}'
    )
    def wait_write(context: Any, database: str, item: str, host: int) -> None:
        """Wait until a write succeeds."""
        text = f'WRITE {item} later'
        wait_until(
            lambda: execute_once(context, database, host, text).code == 'DONE'
        )

    @staticmethod
    @then(
        'a caller of "{database}" eventually reads "{item}" through host '
        '{host:d}'
    )
    def wait_read(context: Any, database: str, item: str, host: int) -> None:
        """Wait until a read succeeds; its answer must contain data."""
        answers = []

        def is_answered() -> bool:
            answer = execute_once(context, database, host, f'READ {item}')
            answers.append(answer)
            return answer.code == 'DONE'

        wait_until(is_answered)
        assert answers[-1].rows != ('-',), answers[-1]

    @staticmethod
    @then(
        'a caller of "{database}" that writes "{item}" gets "{code}" at '
        'host {host:d}'
    )
    def check_write_code(
        context: Any, database: str, item: str, code: str, host: int
    ) -> None:
        """Write and compare the code of the answer."""
        answer = execute_once(context, database, host, f'WRITE {item} once')
        assert answer.code == code, answer

    @staticmethod
    @then('the members have received exactly one write of "{item}"')
    def check_one_write(context: Any, item: str) -> None:
        """Check that the write was sent only once."""
        servers = context.deployment.group.servers.values()
        texts = [t for s in servers for _, t in s.received_requests]
        writes = [t for t in texts if t.startswith(f'WRITE {item} ')]
        assert len(writes) == 1, writes


class StoreCallSteps:
    """Steps for the calls of the hosts to the key-value service."""

    @staticmethod
    @when('{count:d} keys of other writers change one after the other')
    def change_keys(context: Any, count: int) -> None:
        """Change keys, each after the hosts have renewed their watches.

        Return when every host has the configuration that is written last.
        """
        deployment = context.deployment
        deployment.store.calls.clear()
        for number in range(count):
            deployment.store.put(f'status/{number}', {'number': number})
            gevent.sleep(CHANGE_INTERVAL_S)
        deployment.configure({'orders': 'session', 'last': 'session'})
        for host in deployment.hosts:
            directory = host.proxy.directory
            wait_until(lambda d=directory: 'last' in d.table.routes)

    @staticmethod
    @then('the hosts have made fewer than {most:d} calls per host')
    def check_calls(context: Any, most: int) -> None:
        """Compare the number of calls of all hosts."""
        deployment = context.deployment
        calls = len(deployment.store.calls)
        assert calls < most * len(deployment.hosts), deployment.store.calls

    @staticmethod
    @when('another host starts')
    def start_host(context: Any) -> None:
        """Start another host and wait until it has loaded the store."""
        deployment = context.deployment
        deployment.store.calls.clear()
        host = deployment.add_host()
        wait_until(lambda: host.proxy.directory.is_loaded)
        context.calls = list(deployment.store.calls)

    @staticmethod
    @then(
        'the new host has read one range besides the initial range of its '
        'watch'
    )
    def check_range_calls(context: Any) -> None:
        """Count the read calls; the other hosts only call the watch."""
        ranges = context.calls.count('/v1/kv-range')
        keys = context.calls.count('/v1/kv-key')
        assert (ranges, keys) == (2, 0), context.calls


class SessionSteps:
    """Steps for a session that stays open."""

    @staticmethod
    @given('a caller of "{database}" connected to host {host:d}')
    def connect(context: Any, database: str, host: int) -> None:
        """Open a session."""
        context.caller = context.deployment.hosts[host].connect(database)
        context.cleanups.append(context.caller.close)

    @staticmethod
    @when('the caller executes "{texts}"')
    def execute(context: Any, texts: str) -> None:
        """Execute statements one after the other; each must succeed."""
        for text in texts.split('" and "'):
            answer = context.caller.execute(text)
            assert answer.code == 'DONE', (text, answer)

    @staticmethod
    @when('the caller closes its connection')
    def disconnect(context: Any) -> None:
        """Close the connection without ``BYE``."""
        context.caller.close()

    @staticmethod
    @when(
        'other callers of "{database}" use {count:d} connections of host 0 '
        'at once'
    )
    def use_connections(context: Any, database: str, count: int) -> None:
        """Set a session value and read in several sessions at once."""
        callers = [
            context.deployment.hosts[0].connect(database) for _ in range(count)
        ]
        for caller in callers:
            caller.execute('SET lang el')
            caller.send('READ other')
        for caller in callers:
            assert caller.read_answer().code == 'DONE'
            caller.close()

    @staticmethod
    @then(
        'the caller\'s "{text}" returns "{data}" with the session values '
        '"{values}"'
    )
    def check_session_values(
        context: Any, text: str, data: str, values: str
    ) -> None:
        """Compare the data and the session values in the signature."""
        answer = context.caller.execute(text)
        assert answer.rows == (data,), answer
        assert answer.signature.split('.')[2] == values, answer

    @staticmethod
    @when('the caller sends "{one}" and "{two}" and "{three}" in one write')
    def send_pipelined(context: Any, one: str, two: str, three: str) -> None:
        """Send three requests in one write without waiting for answers."""
        lines = [
            f'QUERY p{i} {t}\r\n' for i, t in enumerate((one, two, three))
        ]
        context.caller.send_bytes(''.join(lines).encode())

    @staticmethod
    @then('the caller gets the answers "{one}", "{two}" and "{three}"')
    def check_answers_in_order(
        context: Any, one: str, two: str, three: str
    ) -> None:
        """Compare the answers in the order of the requests."""
        for data in (one, two, three):
            answer = context.caller.read_answer()
            assert answer.code == 'DONE', answer
            assert answer.rows == ((data,) if data else ()), answer

    @staticmethod
    @then('the caller gets the answers "", "{two}" and "{three}"')
    def check_answers_after_write(context: Any, two: str, three: str) -> None:
        """Compare the answers, of which the first has no row."""
        SessionSteps.check_answers_in_order(context, '', two, three)

    @staticmethod
    @when('another caller sends "{text}"')
    def send_invalid_line(context: Any, text: str) -> None:
        """Send an invalid line in a new session."""
        SessionSteps._send(context, f'{text}\r\n'.encode())

    @staticmethod
    @when('another caller sends a message over the limit')
    def send_too_long(context: Any) -> None:
        """Send 2 MiB without a line end in a new session."""
        SessionSteps._send(context, b'QUERY 1 READ ' + b'x' * (1 << 21))

    @staticmethod
    @then('the other caller gets "{code}"')
    def check_other_code(context: Any, code: str) -> None:
        """Compare the error code that the other caller gets."""
        assert context.other.read_answer().code == code

    @staticmethod
    @when(
        'host {host:d} begins a planned stop while the caller pauses between '
        'requests'
    )
    def start_drain(context: Any, host: int) -> None:
        """Start to drain a host."""
        context.drain = gevent.spawn(context.deployment.hosts[host].drain)

    @staticmethod
    @then(
        'every request of the caller succeeds until the host closes its '
        'session'
    )
    def check_requests_until_closed(context: Any) -> None:
        """Read with pauses until the session ends; each read must succeed."""
        caller: Caller = context.caller
        with gevent.Timeout(HANG_TIMEOUT_S, AssertionError('hung')):
            while True:
                try:
                    answer = caller.execute('READ a')
                except OSError:
                    # The host closed the session between two requests.
                    break
                if not answer.code:
                    break
                assert answer.code == 'DONE', answer
                gevent.sleep(POLL_INTERVAL_S)
            context.drain.join()

    @staticmethod
    @when(
        'host {host:d} drains its sessions while the caller sends requests '
        'without a pause'
    )
    def drain_busy_session(context: Any, host: int) -> None:
        """Drain the sessions while a caller reads without a pause."""
        emulated_host = context.deployment.hosts[host]
        context.answers = []
        reading = gevent.spawn(
            _read_until_closed, context.caller, context.answers
        )
        context.is_complete = emulated_host.proxy.sessions.drain(
            4.0, lambda: 0, emulated_host.stop_accepting
        )
        reading.join()

    @staticmethod
    @then('every request succeeded and the host closed its sessions in time')
    def check_drain_complete(context: Any) -> None:
        """Check that the drain completed before its time limit."""
        assert context.is_complete
        codes = {a.code for a in context.answers}
        assert codes == {'DONE'}, codes

    @staticmethod
    @when(
        'host {host:d} drains its sessions while the caller waits for a '
        '{verb:w}'
    )
    def drain_during_request(context: Any, host: int, verb: str) -> None:
        """Drain the sessions while a request of the caller is handled."""
        emulated_host = context.deployment.hosts[host]
        registry = emulated_host.proxy.sessions
        context.caller.send({'write': 'WRITE a 1', 'read': 'READ a'}[verb])
        wait_until(lambda: registry.busy_count > 0)
        registry.drain(1.0, lambda: 0, emulated_host.stop_accepting)
        # The process would exit now.
        context.unanswered = registry.busy_count

    @staticmethod
    @then('the caller gets the answer "{code}" to its {verb:w}')
    def check_interrupted(context: Any, code: str, verb: str) -> None:
        """Check the answer to the request that the stop interrupted."""
        assert not context.unanswered
        found = context.caller.read_answer().code
        assert found == code, found

    @staticmethod
    @when('host {host:d} reaches the last phase of its planned stop')
    def refuse_requests(context: Any, host: int) -> None:
        """Let a host reject requests, as at the end of its drain."""
        registry = context.deployment.hosts[host].proxy.sessions
        registry.enter(DrainPhase.REFUSING)

    @staticmethod
    @then('the caller gets "{code}" and its session is closed')
    def check_refused_and_closed(context: Any, code: str) -> None:
        """Compare the error code and check that the session ends."""
        assert context.caller.execute('READ a').code == code
        assert context.caller.read_answer().code == ''

    @staticmethod
    def _send(context: Any, data: bytes) -> None:
        context.other = context.deployment.hosts[0].connect('orders')
        context.cleanups.append(context.other.close)
        gevent.spawn(_send_all, context.other, data)


def _send_all(caller: Caller, data: bytes) -> None:
    try:
        caller.send_bytes(data)
    except OSError:
        # The host rejected the message and closed the connection.
        pass


def _read_until_closed(caller: Caller, answers: list[CallerAnswer]) -> None:
    """Read without a pause until the host closes the session."""
    while True:
        try:
            answer = caller.execute('READ a')
        except OSError:
            # The host closed the session between two requests.
            return
        if not answer.code:
            return
        answers.append(answer)
