"""Steps on the whole path over the emulated platform."""

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
from trefoilpulley_emulator.caller import Caller
from trefoilpulley_emulator.caller import CallerAnswer
from trefoilpulley_emulator.deployment import EmulatedDeployment


CHANGE_S = 0.03
"""Pause between two changes, in seconds; a watch is back by then."""


class DeploymentSteps:
    """Steps on the deployment and its faults."""

    @staticmethod
    @given('an emulated deployment of {hosts:d} hosts')
    def make(context: Any, hosts: int) -> None:
        """Start a deployment and wait until it serves."""
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
    @then('the state of host {host:d} tells each member and its connections')
    def check_state(context: Any, host: int) -> None:
        """Check that the dump can be made and names what is open."""
        state = context.deployment.hosts[host].proxy.dump()
        members = state.groups[0].members
        assert len(members) == 3, members
        assert sum(m.connections for m in members) > 0, members
        assert all(m.share > 0 for m in members), members

    @staticmethod
    @when('the configuration holds "{one}" and "{other}" alone')
    def configure(context: Any, one: str, other: str) -> None:
        """Put a configuration with two databases in force."""
        context.deployment.configure({one: 'primary', other: 'session'})

    @staticmethod
    @when('reads take {took:d} ms at the primary')
    def slow_primary(context: Any, took: int) -> None:
        """Let the primary be slow."""
        context.deployment.group.primary.read_duration_s = took / 1000

    @staticmethod
    @when('the primary crashes')
    def crash(context: Any) -> None:
        """Stop the primary without a word."""
        group = context.deployment.group
        group.crash(group.primary.state.member)

    @staticmethod
    @given('the group confirms commits at {count:d} replica')
    def confirm(context: Any, count: int) -> None:
        """Declare synchronous replicas, and wait until they are known."""
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
    @when('a replica crashes')
    def crash_replica(context: Any) -> None:
        """Stop a replica without a word."""
        group = context.deployment.group
        leader = group.primary.state.member
        context.replica = next(m for m in group.servers if m != leader)
        group.crash(context.replica)

    @staticmethod
    @when('the replica is back')
    def start_replica(context: Any) -> None:
        """Start the replica again at its address."""
        context.deployment.group.servers[context.replica].start()

    @staticmethod
    @then('no promotion is ordered while the replica is away')
    def check_kept(context: Any) -> None:
        """Let every host decide some times; none may act."""
        for host in context.deployment.hosts:
            group = host.proxy.directory.groups['ledger']
            wait_until(lambda g=group: g.state.primary in g.state.members)
            for _ in range(3):
                host.proxy.changer.replace(group, group.state.primary)
        assert not context.deployment.promotion_server.requests

    @staticmethod
    @then('the replicas were held before the promotion')
    def check_held(context: Any) -> None:
        """Check that both replicas were told to hold."""
        servers = context.deployment.group.servers.values()
        held = [
            s
            for s in servers
            if any('HOLD' in t for _, t in s.received_requests)
        ]
        assert len(held) == 2, held

    @staticmethod
    @when('the primary announces its end')
    def leave(context: Any) -> None:
        """Let the primary be about to stop."""
        group = context.deployment.group
        context.leaving = group.primary.state.member
        group.announce_stop(context.leaving)

    @staticmethod
    @when('the primary loses its next answer')
    def lose_answer(context: Any) -> None:
        """Let the primary run a statement and stay silent."""
        context.deployment.group.primary.answers_to_withhold = 1

    @staticmethod
    @when('the store goes down')
    def lose_store(context: Any) -> None:
        """Refuse every call to the store."""
        context.deployment.store.is_down = True

    @staticmethod
    @when('the store forgets its history')
    def forget(context: Any) -> None:
        """Drop the history of the store."""
        context.deployment.store.discard_history()

    @staticmethod
    @when('the store holds a broken entry')
    def break_entry(context: Any) -> None:
        """Write entries that can't be read."""
        store = context.deployment.store
        store.put('servers/broken', b'\xff\xfe')
        store.put('servers/odd', {'service': 'ledger', 'state': 7})

    @staticmethod
    @then('one promotion was carried out')
    def check_promotions(context: Any) -> None:
        """Check that exactly one order was taken."""
        requests = context.deployment.promotion_server.requests
        taken = [o for o in requests if o[3] == 200]
        assert len({o[1] for o in taken}) == 1, requests
        assert len(taken) == 1, requests

    @staticmethod
    @then('another member leads before long')
    def check_handover(context: Any) -> None:
        """Wait until the leaving member no longer leads."""
        group = context.deployment.group
        wait_until(
            lambda: (
                group.log.primary is not None
                and group.log.primary.member != context.leaving
            )
        )

    @staticmethod
    @then('no commit was rolled back')
    def check_rollbacks(context: Any) -> None:
        """Check that nothing was lost."""
        assert not context.deployment.group.log.rolled_back


class CallerSteps:
    """Steps on callers and what they are told."""

    @staticmethod
    @when(
        'a caller of "{database}" writes "{item}" as "{data}" through host '
        '{host:d}'
    )
    @then(
        'a caller of "{database}" writes "{item}" as "{data}" through host '
        '{host:d}'
    )
    def write(
        context: Any, database: str, item: str, data: str, host: int
    ) -> None:
        """Write on a session that stays open."""
        context.caller = context.deployment.hosts[host].connect(database)
        context.cleanups.append(context.caller.close)
        context.answers = [context.caller.execute(f'WRITE {item} {data}')]
        assert context.answers[0].code == 'DONE', context.answers

    @staticmethod
    @then('the same caller reads "{item}" as "{data}"')
    def read_same(context: Any, item: str, data: str) -> None:
        """Read on the same session."""
        answer = context.caller.execute(f'READ {item}')
        context.answers.append(answer)
        assert answer.rows == (data,), answer

    @staticmethod
    @then(
        'a caller of "{database}" reads "{item}" as "{data}" through host '
        '{host:d}'
    )
    def read(
        context: Any, database: str, item: str, data: str, host: int
    ) -> None:
        """Read on a session of its own."""
        answer = execute_once(context, database, host, f'READ {item}')
        assert answer.rows == (data,), answer

    @staticmethod
    @then('every answer carries a member\'s signature')
    def check_signatures(context: Any) -> None:
        """Check that members have answered."""
        for answer in context.answers:
            assert answer.signature.startswith('sig.ledger-'), answer

    @staticmethod
    @when('a caller of "{database}" reads {count:d} times through host 0')
    def read_often(context: Any, database: str, count: int) -> None:
        """Read again and again on one session."""
        caller = context.deployment.hosts[0].connect(database)
        context.cleanups.append(caller.close)
        answers = [caller.execute('READ a') for _ in range(count)]
        assert all(a.code == 'DONE' for a in answers), answers
        context.answers = answers

    @staticmethod
    @then('replicas have served some of them')
    def check_replicas(context: Any) -> None:
        """Check that not every read ran at the primary."""
        primary = context.deployment.group.primary.state.member
        served = {a.signature.split('.')[1] for a in context.answers}
        assert served - {primary}, served

    @staticmethod
    @then('a caller of "{database}" is denied with "{code}" at host {host:d}')
    def check_denied(
        context: Any, database: str, code: str, host: int
    ) -> None:
        """Check the refusal of a session."""
        assert execute_once(context, database, host, 'READ a').code == code

    @staticmethod
    @then('a caller of "{database}" is served before long at host {host:d}')
    def wait_served(context: Any, database: str, host: int) -> None:
        """Wait until a database is served."""
        wait_until(
            lambda: (
                execute_once(context, database, host, 'READ a').code == 'DONE'
            )
        )

    @staticmethod
    @then('a caller of "{database}" is denied before long at host {host:d}')
    def wait_denied(context: Any, database: str, host: int) -> None:
        """Wait until a database is denied."""
        wait_until(
            lambda: (
                execute_once(context, database, host, 'READ a').code == 'NODB'
            )
        )

    @staticmethod
    @then(
        'a caller of "{database}" can write "{item}" before long through '
        'host {host:d}'
    )
    def wait_write(context: Any, database: str, item: str, host: int) -> None:
        """Wait until a write is acknowledged."""
        text = f'WRITE {item} later'
        wait_until(
            lambda: execute_once(context, database, host, text).code == 'DONE'
        )

    @staticmethod
    @then(
        'a caller of "{database}" reads "{item}" before long through host '
        '{host:d}'
    )
    def wait_read(context: Any, database: str, item: str, host: int) -> None:
        """Wait for an answer; the first one must hold the write."""
        answers = []

        def is_answered() -> bool:
            answer = execute_once(context, database, host, f'READ {item}')
            answers.append(answer)
            return answer.code == 'DONE'

        wait_until(is_answered)
        assert answers[-1].rows != ('-',), answers[-1]

    @staticmethod
    @then(
        'a caller of "{database}" that writes "{item}" is told "{code}" at '
        'host {host:d}'
    )
    def check_told(
        context: Any, database: str, item: str, code: str, host: int
    ) -> None:
        """Check what a writer is told."""
        answer = execute_once(context, database, host, f'WRITE {item} once')
        assert answer.code == code, answer

    @staticmethod
    @then('the members have seen one write of "{item}"')
    def check_once(context: Any, item: str) -> None:
        """Check that the write was sent once."""
        servers = context.deployment.group.servers.values()
        seen = [t for s in servers for _, t in s.received_requests]
        writes = [t for t in seen if t.startswith(f'WRITE {item} ')]
        assert len(writes) == 1, writes


class ServiceCallSteps:
    """Steps on the calls to the platform's service."""

    @staticmethod
    @when('{count:d} entries of other writers change one after the other')
    def change_entries(context: Any, count: int) -> None:
        """Change entries, each once the watches have been woken."""
        deployment = context.deployment
        deployment.store.calls.clear()
        for number in range(count):
            deployment.store.put(f'status/{number}', {'number': number})
            gevent.sleep(CHANGE_S)
        deployment.configure({'orders': 'session', 'last': 'session'})
        for host in deployment.hosts:
            directory = host.proxy.directory
            wait_until(lambda d=directory: 'last' in d.table.routes)

    @staticmethod
    @then('each host has made less than {most:d} calls for them')
    def check_calls(context: Any, most: int) -> None:
        """Count the calls of all hosts."""
        deployment = context.deployment
        calls = len(deployment.store.calls)
        assert calls < most * len(deployment.hosts), deployment.store.calls

    @staticmethod
    @when('another host starts')
    def start_host(context: Any) -> None:
        """Start one more host and wait until it follows the service."""
        deployment = context.deployment
        deployment.store.calls.clear()
        host = deployment.add_host()
        wait_until(lambda: host.proxy.directory.is_loaded)
        context.calls = list(deployment.store.calls)

    @staticmethod
    @then('it has read one range besides the one that begins its watch')
    def check_ranges(context: Any) -> None:
        """Count the reads; other hosts only watch."""
        ranges = context.calls.count('/v1/kv-range')
        keys = context.calls.count('/v1/kv-key')
        assert (ranges, keys) == (2, 0), context.calls


class SessionSteps:
    """Steps on one session that stays open."""

    @staticmethod
    @given('a caller of "{database}" at host {host:d}')
    def connect(context: Any, database: str, host: int) -> None:
        """Open a session."""
        context.caller = context.deployment.hosts[host].connect(database)
        context.cleanups.append(context.caller.close)

    @staticmethod
    @when('it says "{texts}"')
    def say(context: Any, texts: str) -> None:
        """Send statements one by one; each must succeed."""
        for text in texts.split('" and "'):
            answer = context.caller.execute(text)
            assert answer.code == 'DONE', (text, answer)

    @staticmethod
    @when('it closes its connection')
    def close(context: Any) -> None:
        """Leave without a word."""
        context.caller.close()

    @staticmethod
    @when('other callers of "{database}" use {count:d} connections of host 0')
    def use_connections(context: Any, database: str, count: int) -> None:
        """Let other sessions use the connections at the same time."""
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
    @then('its "{text}" answers "{data}" with the values "{values}"')
    def check_values(context: Any, text: str, data: str, values: str) -> None:
        """Check the answer and the values that the member had."""
        answer = context.caller.execute(text)
        assert answer.rows == (data,), answer
        assert answer.signature.split('.')[2] == values, answer

    @staticmethod
    @when('it sends "{one}" and "{two}" and "{three}" in one write')
    def pipeline(context: Any, one: str, two: str, three: str) -> None:
        """Send three requests without waiting."""
        lines = [
            f'QUERY p{i} {t}\r\n' for i, t in enumerate((one, two, three))
        ]
        context.caller.send_bytes(''.join(lines).encode())

    @staticmethod
    @then('it is answered "{one}", "{two}" and "{three}"')
    def check_order(context: Any, one: str, two: str, three: str) -> None:
        """Check the answers in their order."""
        for data in (one, two, three):
            answer = context.caller.read_answer()
            assert answer.code == 'DONE', answer
            assert answer.rows == ((data,) if data else ()), answer

    @staticmethod
    @then('it is answered "", "{two}" and "{three}"')
    def check_write_first(context: Any, two: str, three: str) -> None:
        """Check the answers where the first one has no row."""
        SessionSteps.check_order(context, '', two, three)

    @staticmethod
    @when('another caller sends "{text}"')
    def send_broken(context: Any, text: str) -> None:
        """Send a line that makes no sense."""
        SessionSteps._send(context, f'{text}\r\n'.encode())

    @staticmethod
    @when('another caller sends a message over the limit')
    def send_long(context: Any) -> None:
        """Send a message without an end."""
        SessionSteps._send(context, b'QUERY 1 READ ' + b'x' * (1 << 21))

    @staticmethod
    @then('the other caller is told "{code}"')
    def check_told(context: Any, code: str) -> None:
        """Check the refusal."""
        assert context.other.read_answer().code == code

    @staticmethod
    @when('host {host:d} is told to stop while the caller goes on')
    def stop_host(context: Any, host: int) -> None:
        """Drain a host."""
        proxy = context.deployment.hosts[host].proxy
        context.drain = gevent.spawn(proxy.drain)

    @staticmethod
    @then('the caller is answered until the host closes its session')
    def check_drain(context: Any) -> None:
        """Ask until the session ends; no request may be cut."""
        caller: Caller = context.caller
        with gevent.Timeout(HANG_TIMEOUT_S, AssertionError('hung')):
            while True:
                try:
                    answer = caller.execute('READ a')
                except OSError:
                    # Closed between two requests.
                    break
                if not answer.code:
                    break
                assert answer.code == 'DONE', answer
                gevent.sleep(POLL_INTERVAL_S)
            context.drain.join()

    @staticmethod
    @when(
        'host {host:d} is told to stop while the caller asks without a pause'
    )
    def stop_busy_host(context: Any, host: int) -> None:
        """Drain a host under a caller that never rests."""
        proxy = context.deployment.hosts[host].proxy
        context.answers = []
        asking = gevent.spawn(_ask_on, context.caller, context.answers)
        context.is_complete = proxy.sessions.drain(4.0, lambda: 0)
        asking.join()

    @staticmethod
    @then('every request was answered and the host ended its sessions itself')
    def check_ended(context: Any) -> None:
        """Check that the drain ended before its time."""
        assert context.is_complete
        codes = {a.code for a in context.answers}
        assert codes == {'DONE'}, codes

    @staticmethod
    @when('host {host:d} is about to end')
    def near_end(context: Any, host: int) -> None:
        """Put a host into the last part of its drain."""
        registry = context.deployment.hosts[host].proxy.sessions
        registry.refuse()

    @staticmethod
    @then('the caller is told "{code}" and its session is closed')
    def check_refused(context: Any, code: str) -> None:
        """Check the refusal and the end of the session."""
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
        # The host has refused the message and closed.
        pass


def _ask_on(caller: Caller, answers: list[CallerAnswer]) -> None:
    """Ask without a pause until the host closes the session."""
    while True:
        try:
            answer = caller.execute('READ a')
        except OSError:
            # Closed between two requests.
            return
        if not answer.code:
            return
        answers.append(answer)
