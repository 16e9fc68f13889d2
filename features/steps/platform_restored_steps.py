"""Steps on a service that comes back from an older copy."""

from __future__ import annotations

import json
from typing import Any

from behave import given
from behave import then
from behave import when
import eliot
from gevent.pywsgi import WSGIServer

from features.fakes.asking import wait_until
from trefoilpulley_core.catalog import Endpoint
from trefoilpulley_core.platform import WatchExpired
from trefoilpulley_emulator.deployment import EmulatedDeployment
from trefoilpulley_emulator.kv_server import KvServer
from trefoilpulley_node.direct.claim_store import claim_key
from trefoilpulley_node.direct.direct_metrics import DirectMetrics
from trefoilpulley_node import events
from trefoilpulley_platform.json_client import JsonClient
from trefoilpulley_platform.kv_store import KvStore


class EmulatedServiceSteps:
    """Steps on the emulated service itself."""

    @staticmethod
    @given('an emulated service')
    def start(context: Any) -> None:
        """Start a service that has one key."""
        context.store = KvServer()
        context.store.start()
        context.cleanups.append(context.store.stop)
        context.store.put('servers/first', {})
        context.client = JsonClient(_endpoint(context))

    @staticmethod
    @given('the service is of era 0')
    def set_era(context: Any) -> None:
        """Let the service count its eras from 0."""
        context.store.era = 0

    @staticmethod
    @when('a key is written and a lease is granted')
    def write(context: Any) -> None:
        """Take a copy, then change the service."""
        context.copy = context.store.take_copy()
        context.numbers = EmulatedServiceSteps._change(context)

    @staticmethod
    @when('the service comes back from a copy from before')
    def restore(context: Any) -> None:
        """Restore the copy."""
        context.store.restore(context.copy)

    @staticmethod
    @then('the next key and the next lease get the same numbers in era {era}')
    def check_numbers(context: Any, era: str) -> None:
        """Check that nothing of the lost state is left."""
        answer = context.client.call('GET', '/v1/kv-range?prefix=').unwrap()
        assert [i['key'] for i in answer.body['items']] == ['servers/first']
        assert answer.headers['store-era'] == era, answer
        assert EmulatedServiceSteps._change(context) == context.numbers

    @staticmethod
    @then('a watch from the lost revision is refused')
    def check_refused(context: Any) -> None:
        """Watch from a revision that the service doesn't have."""
        assert EmulatedServiceSteps._watch(context).status == 410

    @staticmethod
    @when('the service has grown past the lost revision')
    def grow(context: Any) -> None:
        """Write other keys with the lost revisions."""
        context.store.put('servers/other', {})
        context.store.put('servers/later', {})

    @staticmethod
    @then('a watch from the lost revision reports later keys')
    def check_reports(context: Any) -> None:
        """Watch from a revision that was given out again."""
        answer = EmulatedServiceSteps._watch(context)
        found = [e['key'] for e in answer.body['events']]
        assert found == ['servers/later'], answer

    @staticmethod
    def _watch(context: Any) -> Any:
        revision, _ = context.numbers
        query = f'prefix=&after={revision}&wait_ms=1000'
        return context.client.call('GET', f'/v1/kv-watch?{query}').unwrap()

    @staticmethod
    def _change(context: Any) -> tuple[int, int]:
        """Write a key and grant a lease; return their numbers."""
        put = {'key': 'trefoilpulley/x', 'value': ''}
        body = {'expected_rev': [], 'puts': [put], 'deletes': []}
        call = context.client.call
        written = call('POST', '/v1/kv-txn', body).unwrap()
        lease = call('POST', '/v1/kv-lease', {'ttl_ms': 10_000}).unwrap()
        return written.body['revision'], lease.body['lease']


class EraSteps:
    """Steps on the client that follows the eras of the service."""

    @staticmethod
    @given("a host's client of the service")
    def make_client(context: Any) -> None:
        """Create the client and collect what it logs."""
        context.kv = KvStore(_endpoint(context), DirectMetrics())
        context.logged = []
        eliot.add_destinations(context.logged.append)
        context.cleanups.append(
            lambda: eliot.remove_destination(context.logged.append)
        )

    @staticmethod
    @when(
        'the client reads the service before and after its return from a copy'
    )
    def read_twice(context: Any) -> None:
        """Read each of the two states of the service."""
        context.lost = context.kv.get_prefix('').unwrap().revision
        context.store.restore(context.copy)
        context.found = context.kv.get_prefix('').unwrap().revision

    @staticmethod
    @then(
        'the client has logged era {era:d} with the lost revision and the new '
        'one'
    )
    def check_logged(context: Any, era: int) -> None:
        """Check the event that tells of the return."""
        name = events.PLATFORM_RESTORED.name
        (event,) = [m for m in context.logged if m.get('event') == name]
        assert event['era'] == era == context.kv.era, event
        assert event['last_revision'] == context.lost, event
        assert event['revision'] == context.found < context.lost, event

    @staticmethod
    @given('a service whose answers are of the eras {eras}')
    def serve(context: Any, eras: str) -> None:
        """Start a service with a scripted era in each answer."""
        remaining = eras.split()
        body = {
            **_item('servers/a'),
            'items': [_item('servers/a')],
            'events': [_item('servers/b')],
            'has_more': True,
            'store_revision': 5,
        }

        def answer(environ: Any, start_response: Any) -> list[bytes]:
            headers = [('Store-Era', remaining.pop(0))]
            start_response('200 OK', headers)
            return [json.dumps(body).encode()]

        server = WSGIServer(('127.0.0.1', 0), answer, log=None)
        server.start()
        context.cleanups.append(server.stop)
        endpoint = Endpoint('127.0.0.1', server.server_port)
        context.kv = KvStore(endpoint, DirectMetrics())

    @staticmethod
    @then('a {call} of the client fails with "{code}"')
    def check_call(context: Any, call: str, code: str) -> None:
        """Make a call whose last answer is of another era."""
        kv = context.kv
        if call != 'paged read':
            kv.get('servers/a').unwrap()
        result = {
            'second read': lambda: kv.get('servers/a'),
            'second write': lambda: kv.delete('servers/a', 5, era=2),
            'paged read': lambda: kv.get_prefix(''),
        }[call]()
        assert result.failure().code == code, result

    @staticmethod
    @when('the client writes a key with a lease')
    def write_with_lease(context: Any) -> None:
        """Write a key that the service is about to lose."""
        context.copy = context.store.take_copy()
        context.lease = context.kv.grant_lease(10).unwrap()
        lease_id, era = context.lease.lease_id, context.lease.era
        context.revision = context.kv.compare_and_swap(
            'x', 0, b'lost', lease_id, era
        ).unwrap()

    @staticmethod
    @when('the service gives out the same revision and lease to others')
    def give_out_again(context: Any) -> None:
        """Restore a copy from before; another host takes the numbers."""
        context.store.restore(context.copy)
        other = KvStore(_endpoint(context), DirectMetrics())
        lease = other.grant_lease(10).unwrap()
        assert lease.lease_id == context.lease.lease_id, lease
        revision = other.compare_and_swap(
            'x', 0, b'other', lease.lease_id, lease.era
        ).unwrap()
        assert revision == context.revision, revision

    @staticmethod
    @then("the client's {call} fails, as the era has changed")
    def check_condition(context: Any, call: str) -> None:
        """Use what was learnt in the lost era."""
        kv, revision, era = context.kv, context.revision, context.lease.era
        result = {
            'write': lambda: kv.compare_and_swap('x', revision, b'y', era=era),
            'delete': lambda: kv.delete('x', revision, era),
            'renewal': lambda: kv.keep_alive(context.lease.lease_id, era),
        }[call]()
        assert result.failure().code == 'era-changed', result

    @staticmethod
    @then("the client's {call} fails and nothing is sent")
    def check_unsent(context: Any, call: str) -> None:
        """Use what was learnt in the lost era; the service must not see it."""
        count = len(context.store.calls)
        EraSteps.check_condition(context, call)
        assert len(context.store.calls) == count, context.store.calls

    @staticmethod
    @when('the client watches the service')
    def watch(context: Any) -> None:
        """Start a watch and collect what it reports."""
        context.changes, context.failures = [], []
        context.watch = context.kv.watch(
            '', context.changes.append, context.failures.append
        )
        context.cleanups.append(context.watch.cancel)

    @staticmethod
    @when('the service comes back from a copy of its newest state')
    def restore_newest(context: Any) -> None:
        """Restore without the loss of a revision while the watch waits."""
        wait_until(lambda: '/v1/kv-watch' in context.store.calls)
        context.store.restore(context.store.take_copy())

    @staticmethod
    @when('the watch is broken while the service comes back from a copy')
    def restore_unwatched(context: Any) -> None:
        """Restore a copy and let the service grow past the watch."""
        wait_until(lambda: '/v1/kv-watch' in context.store.calls)
        context.watch.cancel()
        context.store.restore(context.store.take_copy())
        context.store.put('servers/later', {})

    @staticmethod
    @when('the client reads the service')
    def read(context: Any) -> None:
        """Learn the era of the service by another call than the watch."""
        context.kv.get_prefix('').unwrap()

    @staticmethod
    @then('the watch has expired')
    def check_expired(context: Any) -> None:
        """Check that the failure was reported at once."""
        assert context.failures == [WatchExpired()], context.failures

    @staticmethod
    @then('the watch has expired without a change')
    def check_nothing_applied(context: Any) -> None:
        """Wait for the end of the watch; it must not report a change."""
        wait_until(lambda: context.failures or context.changes)
        assert context.failures == [WatchExpired()], context.failures
        assert not context.changes, context.changes


class RestoredDeploymentSteps:
    """Steps on hosts whose service comes back from an older copy."""

    @staticmethod
    @when('the service loses a configuration by its return from a copy')
    def lose_configuration(context: Any) -> None:
        """Restore a copy from before the configuration in force."""
        deployment = context.deployment
        copy = deployment.store.take_copy()
        _write_other_keys(deployment)
        _configure(deployment)
        deployment.restore(copy)

    @staticmethod
    @when('the service loses a claim by its return from a copy')
    def lose_claim(context: Any) -> None:
        """Restore a copy from before a change of primary."""
        deployment = context.deployment
        group = deployment.group
        copy = deployment.store.take_copy()
        primary = group.primary.state.member
        group.announce_stop(primary)
        wait_until(lambda: group.primary.state.member != primary)
        context.round = _stored_round(context)
        # The hosts read the changes in order, the claim first.
        _configure(deployment)
        deployment.restore(copy)
        assert _stored_round(context) == 0

    @staticmethod
    @then('the service eventually holds the claim again')
    def check_claim(context: Any) -> None:
        """Wait until a host has written the round of the lost claim."""
        wait_until(lambda: _stored_round(context) == context.round)

    @staticmethod
    @when('the service loses changes of members by its return from a copy')
    def lose_members(context: Any) -> None:
        """Restore a copy from before changes that the hosts know."""
        deployment = context.deployment
        group = deployment.group
        copy = deployment.store.take_copy()
        _write_other_keys(deployment)
        for member in group.servers:
            group.announce_stop(member)
        _wait_until_leaving(deployment, tuple(group.servers))
        for member in group.servers:
            group.withdraw_stop(member)
        _wait_until_leaving(deployment, tuple(group.servers), False)
        deployment.restore(copy)

    @staticmethod
    @when('a replica announces that it will stop')
    def announce(context: Any) -> None:
        """Announce the stop of a member that does not lead."""
        group = context.deployment.group
        primary = group.primary.state.member
        context.replica = next(m for m in group.servers if m != primary)
        group.announce_stop(context.replica)

    @staticmethod
    @then('every host eventually knows that the replica leaves')
    def check_leaving(context: Any) -> None:
        """Wait until the newest entry is in use everywhere."""
        _wait_until_leaving(context.deployment, (context.replica,))


def _wait_until_leaving(
    deployment: EmulatedDeployment,
    members: tuple[str, ...],
    is_leaving: bool = True,
) -> None:
    for host in deployment.hosts:
        state = host.proxy.directory.groups['ledger'].state
        wait_until(
            lambda s=state: all(
                s.members[m].record.is_leaving is is_leaving for m in members
            )
        )


def _configure(deployment: EmulatedDeployment) -> None:
    """Change the configuration and wait until every host has read it."""
    deployment.configure({'filings': 'primary', 'orders': 'session'})
    for host in deployment.hosts:
        directory = host.proxy.directory
        wait_until(lambda d=directory: d.table.version == deployment.version)


def _stored_round(context: Any) -> int:
    value = context.deployment.store.find(claim_key('ledger'))
    return json.loads(value)['round'] if value else 0


def _write_other_keys(deployment: EmulatedDeployment) -> None:
    """Let the revisions grow by more than what is written again."""
    for number in range(40):
        deployment.store.put(f'other/{number}', {})


def _item(key: str) -> dict[str, Any]:
    return {'key': key, 'value': '', 'revision': 4}


def _endpoint(context: Any) -> Endpoint:
    address, _, port = context.store.address.partition(':')
    return Endpoint(address, int(port))
