"""Steps on hosts that follow the platform's service through relays."""

from __future__ import annotations

from collections import defaultdict
import json
from typing import Any

from behave import given
from behave import then
from behave import when
import eliot

from features.fakes.asking import wait_until
from features.fakes.config_fleet import KEY
from features.fakes.watch_fleet import WatchFleet
from features.fakes.watch_fleet import WatchHost
from trefoilpulley_core.direct.change_history import ChangeHistory
from trefoilpulley_core.direct.change_history import MAX_ANSWER_BYTES
from trefoilpulley_core.direct.watch_relay_messages import ChangesQuestion
from trefoilpulley_core.platform import KeyValue
from trefoilpulley_core.platform import WatchPosition
from trefoilpulley_node.direct.change_relay import ChangeRelay
from trefoilpulley_node import events
from trefoilpulley_platform.documents import KvDocuments

ZONE = 'z0'
"""Availability zone whose hosts have the faults."""

VERSION = 2
"""Version of the configuration that is written during a fault."""

OWN_CALLS = {'/v1/kv-watch', '/v1/kv-range'}
"""Calls that follow the service."""


def _start(
    context: Any, hosts: int, zones: int, seed: int = 1, **options: Any
) -> WatchFleet:
    fleet = WatchFleet(hosts, zones, seed, **options)
    context.cleanups.append(fleet.stop)
    context.began_at = fleet.now
    fleet.start()
    return fleet


def _inflict(fleet: WatchFleet, fault: str) -> list[WatchHost]:
    """Begin a fault that leaves the processes running."""
    one, both, four = (fleet.relays(ZONE, count) for count in (1, 2, 4))
    zone = [h for h in fleet.hosts.values() if h.zone == ZONE]
    hosts, name, value = {
        'a relay is frozen': (one, 'is_frozen', True),
        'both relays are frozen': (both, 'is_frozen', True),
        'four relays are frozen': (four, 'is_frozen', True),
        'a relay answers 400 ms late': (one, 'answer_delay_s', 0.4),
        'the questions to a relay are lost': (one, 'is_question_lost', True),
        'the answers of a relay are lost': (one, 'is_answer_lost', True),
        'a relay is refused by the service': (one, 'is_refused', True),
        'both relays are refused by the service': (both, 'is_refused', True),
        'a zone is refused by the service': (zone, 'is_refused', True),
        'a relay is cut off from the service silently': (
            one,
            'is_silent',
            True,
        ),
        'both relays are cut off from the service silently': (
            both,
            'is_silent',
            True,
        ),
        'a zone is cut off from the service silently': (
            zone,
            'is_silent',
            True,
        ),
    }[fault]
    for host in hosts:
        setattr(host.link if hasattr(host.link, name) else host, name, value)
    fleet.service.wake()
    return hosts


class WatchFleetSteps:
    """Steps on the hosts of a deployment and their faults."""

    @staticmethod
    @given('{hosts:d} hosts of {zones:d} zones that start together')
    def start(context: Any, hosts: int, zones: int) -> None:
        """Start hosts, and collect what is logged."""
        context.logged = []
        eliot.add_destinations(context.logged.append)
        context.cleanups.append(
            lambda: eliot.remove_destination(context.logged.append)
        )
        context.fleet = _start(context, hosts, zones)

    @staticmethod
    @given('{hosts:d} hosts of {zones:d} zones that follow the service')
    def settle(context: Any, hosts: int, zones: int) -> None:
        """Start hosts and let them follow."""
        WatchFleetSteps.start(context, hosts, zones)
        _settle(context)

    @staticmethod
    @given(
        '{hosts:d} hosts of {zones:d} zones with seed {seed:d} that follow '
        'the service'
    )
    def settle_seed(context: Any, hosts: int, zones: int, seed: int) -> None:
        """Start hosts whose decisions have a seed, and let them follow."""
        context.fleet = _start(context, hosts, zones, seed)
        _settle(context)

    @staticmethod
    @when('the service changes, is out for 3 s and returns in a new era')
    def trouble(context: Any) -> None:
        """Play the same with and without the relay."""
        _play_small(context.fleet)
        context.plain = _start(context, 24, 3, is_relayed=False)
        _play_small(context.plain)

    @staticmethod
    @when('{fault}, and the configuration and members change')
    def change_in_fault(context: Any, fault: str) -> None:
        """Begin a fault and write changes at once."""
        fleet = context.fleet
        context.fault_at = context.changed_at = fleet.now
        context.revision = fleet.revision
        if fault == 'the service drops its history':
            # Without a change that is lost, every watch would go on.
            fleet.change_members()
            fleet.service.discard_history()
        elif fault == 'the service returns in a new era':
            fleet.service.restore(fleet.service.take_copy())
        elif fault == 'two hosts do not see the relays':
            relays = {h.name for h in fleet.relays(ZONE)}
            for host in fleet.relays(ZONE, 4)[2:]:
                host.unseen = relays
            fleet.update_live()
        elif fault.endswith('killed while it passes on a change'):
            fleet.configure(VERSION)
            fleet.run(0.005)
            fleet.kill(fleet.relays(ZONE)[0])
        elif fault.endswith('relays are killed'):
            for host in fleet.relays(ZONE, 4 if 'four' in fault else 2):
                fleet.kill(host)
        else:
            context.faulty = _inflict(fleet, fault)
        fleet.configure(VERSION)
        for _ in range(5):
            fleet.change_members()

    @staticmethod
    @when('the faults end and {duration:g} s pass')
    def heal(context: Any, duration: float) -> None:
        """End the faults and let members change once more."""
        for host in context.fleet.hosts.values():
            host.is_frozen = host.is_question_lost = False
            host.is_answer_lost = False
            host.answer_delay_s = 0.0
            host.link.is_refused = host.link.is_silent = False
            host.unseen = set()
        context.fleet.update_live()
        context.fleet.change_members()
        context.fleet.run(duration)

    @staticmethod
    @when('the service is out for {duration:g} s')
    def take_out(context: Any, duration: float) -> None:
        """Refuse all calls for a while; members change at its end."""
        fleet = context.fleet
        context.fault_at = fleet.now
        fleet.service.is_down = True
        fleet.service.wake()
        fleet.run(duration)
        fleet.service.is_down = False
        context.healed_at = fleet.now
        fleet.change_members()
        fleet.run(15)

    @staticmethod
    @when('a relay stops')
    def stop_relay(context: Any) -> None:
        """Stop a relay that holds questions."""
        context.relay = context.fleet.relays(ZONE)[0]
        assert context.relay.open_questions > 0
        context.fleet.time.do(context.relay.relayed.stop)

    @staticmethod
    @then('it holds no question after 10 ms')
    def check_answered(context: Any) -> None:
        """Check that a stop does not wait for questions."""
        context.fleet.run(0.01)
        assert context.relay.open_questions == 0

    @staticmethod
    @then('every live host has the configuration within {duration:g} s')
    def check_configuration(context: Any, duration: float) -> None:
        """Check that a removed key is not used beyond the bound."""
        fleet = context.fleet
        fleet.run(context.changed_at + duration - fleet.now)
        late = [
            h.name
            for h in fleet.live_hosts()
            if VERSION not in h.version_times
        ]
        assert not late, late

    @staticmethod
    @then('every live host knows what the service lists')
    def check_known(context: Any) -> None:
        """Check that no change was skipped, and no old one kept."""
        listed = context.fleet.listed_members()
        assert listed
        wrong = {}
        for host in context.fleet.live_hosts():
            found = {m: r.sequence for m, r in host.directory.members.items()}
            if found != listed or not host.follower.is_following:
                wrong[host.name] = found
        assert not wrong, (listed, wrong)

    @staticmethod
    @then('the hosts of the zones name two relays in the state')
    def check_state(context: Any) -> None:
        """Check what the state dump tells of each host."""
        fleet = context.fleet
        for host in fleet.hosts.values():
            relays = tuple(h.name for h in fleet.relays(host.zone))
            expected = () if host.name in relays else relays
            assert host.relayed.relays == expected, host.relayed.relays

    @staticmethod
    @then('some hosts of the zone follow the service directly')
    def check_fallback(context: Any) -> None:
        """Check that hosts without relays watch from where they were.

        A watch from an older revision may find its history lost.
        """
        hosts = _direct(context) - _relays(context)
        assert hosts
        for name in hosts:
            watched = context.fleet.hosts[name].link.watched
            revisions = [r for at, r in watched if at >= context.fault_at]
            assert min(revisions) >= context.revision, (name, revisions)

    @staticmethod
    @then('only the relays follow the service directly')
    def check_returned(context: Any) -> None:
        """Check that no host keeps a watch that it no longer needs."""
        assert _direct(context) == _relays(context), _direct(context)

    @staticmethod
    @then('the begin and the end of following through relays are logged')
    def check_logged(context: Any) -> None:
        """Check the events of the hosts."""
        names = [m.get('event') for m in context.logged]
        assert names.count(events.SERVICE_RELAYED.name) >= 24, names
        assert events.SERVICE_DIRECT.name in names, names

    @staticmethod
    @then(
        '{count:d} hosts eventually name two relays of their zone in the '
        'state dump'
    )
    def wait_relayed(context: Any, count: int) -> None:
        """Wait until the hosts of an emulated deployment ask relays."""
        hosts = context.deployment.hosts

        def dumps() -> list[Any]:
            found = [h.proxy.dump() for h in hosts]
            return [d for d in found if d.watch_relays]

        wait_until(lambda: len(dumps()) == count)
        zones = {d.host: d.zone for d in (h.proxy.dump() for h in hosts)}
        for dump in dumps():
            assert len(dump.watch_relays) == 2, dump
            assert {zones[r] for r in dump.watch_relays} == {dump.zone}, dump


class ServiceCallSteps:
    """Steps on the calls to the service."""

    @staticmethod
    @then(
        'after 10 s, only {hosts:d} hosts have made watches, and at most '
        '{count:d}'
    )
    def check_watches(context: Any, hosts: int, count: int) -> None:
        """Check that the watches grow with the zones, not the hosts."""
        calls = _calls(context, context.began_at + 10)
        watches = [host for _, host, path in calls if path in OWN_CALLS]
        assert len(set(watches)) == hosts, set(watches)
        assert len(watches) <= count, len(watches)

    @staticmethod
    @then('no other call after 10 s was anything but a renewal')
    def check_renewals(context: Any) -> None:
        """Check the other calls of a calm day."""
        paths = {p for _, _, p in _calls(context, context.began_at + 10)}
        others = paths - {'/v1/kv-watch'}
        assert all('/kv-keep/' in p for p in others), others

    @staticmethod
    @then('each host has made at most {count:d} calls in the first 10 s')
    def check_start(context: Any, count: int) -> None:
        """Check the calls of the start."""
        made: defaultdict[str, int] = defaultdict(int)
        for at, host, _ in context.fleet.calls:
            made[host] += at < context.began_at + 10
        assert max(made.values()) <= count, max(made.values())

    @staticmethod
    @then(
        'the hosts have made the same calls at the same times without the '
        'relay'
    )
    def check_same(context: Any) -> None:
        """Compare every call of both runs."""
        assert len(context.plain.calls) > 100
        assert context.plain.calls == context.fleet.calls

    @staticmethod
    @then('no host has asked another one for changes')
    def check_silent(context: Any) -> None:
        """Check that small deployments send no questions."""
        assert not context.fleet.questions[ChangesQuestion.__name__]

    @staticmethod
    @then(
        'in each {duration:g} s at most {count:d} hosts of a zone have called '
        'the service'
    )
    def check_burst(context: Any, duration: float, count: int) -> None:
        """Check that the askers of a relay do not call together."""
        callers: defaultdict[Any, set[str]] = defaultdict(set)
        for part, host, zone in _parts(context, context.fault_at, duration):
            callers[zone, part].add(host)
        found = max(len(hosts) for hosts in callers.values())
        assert found <= count, found

    @staticmethod
    @then(
        'in each second of the outage, a zone has watched or read at most '
        '{count:d} times'
    )
    def check_outage(context: Any, count: int) -> None:
        """Check the calls while the service is out."""
        _check_rate(context, context.fault_at, context.healed_at, count)

    @staticmethod
    @then(
        'in each second from {begin:d} s on, a zone has watched or read at '
        'most {count:d} times'
    )
    def check_later(context: Any, begin: int, count: int) -> None:
        """Check the calls once all hosts know of the outage."""
        after = context.fault_at + begin
        _check_rate(context, after, context.healed_at, count)

    @staticmethod
    @then(
        'in the first second after it, a zone has watched or read at most '
        '{count:d} times'
    )
    def check_return(context: Any, count: int) -> None:
        """Check the calls of the hosts that notice the end first."""
        healed_at = context.healed_at
        _check_rate(context, healed_at, healed_at + 1, count)

    @staticmethod
    @then(
        'in each second after that, a zone has watched or read at most '
        '{count:d} times'
    )
    def check_after(context: Any, count: int) -> None:
        """Check the calls once the service answers again."""
        after = context.healed_at + 1
        _check_rate(context, after, context.fleet.now, count)


class HistorySteps:
    """Steps on the history of a relay."""

    @staticmethod
    @given('a history of {count:d} changes from revision 100 on')
    def fill(context: Any, count: int) -> None:
        """Record changes up to the bound."""
        context.history = ChangeHistory()
        context.history.reset(WatchPosition(1, 100))
        _record(context.history, 101, count)

    @staticmethod
    @when('{count:d} more changes are recorded')
    def overfill(context: Any, count: int) -> None:
        """Record changes past the bound, and one past the position."""
        _record(context.history, 2101, count)
        context.history.record(KeyValue('late', b'1', 2111, era=1))

    @staticmethod
    @then('it does not reach back to revision {revision:d}')
    def check_expired(context: Any, revision: int) -> None:
        """Check that a host that is too far behind is told so."""
        assert context.history.changes_after(revision) is None

    @staticmethod
    @then('after revision {revision:d} it returns all {count:d} changes')
    def check_complete(context: Any, revision: int, count: int) -> None:
        """Check the changes that are kept."""
        changes, up_to = context.history.changes_after(revision + 1)
        assert len(changes) == count - 1, len(changes)
        assert up_to == 2110, up_to

    @staticmethod
    @then('a change past its position is not returned')
    def check_pending(context: Any) -> None:
        """Check that a part of an answer is not passed on."""
        assert context.history.changes_after(2110) == ((), 2110)

    @staticmethod
    @given('a history whose revisions hold two large changes each')
    def fill_large(context: Any) -> None:
        """Record revisions of two changes, the last too large to pass on."""
        context.history = ChangeHistory()
        context.history.reset(WatchPosition(1, 100))
        for revision in range(101, 105):
            size = (
                MAX_ANSWER_BYTES // 5 if revision < 104 else MAX_ANSWER_BYTES
            )
            for key in 'ab':
                context.history.record(
                    KeyValue(key, b'x' * size, revision, era=1)
                )
        context.history.advance(WatchPosition(1, 104))

    @staticmethod
    @then('an answer never ends within a revision')
    def check_whole(context: Any) -> None:
        """Check that an answer holds both changes of each revision."""
        changes, up_to = context.history.changes_after(100)
        assert [e.mod_revision for e in changes] == [101, 101, 102, 102]
        assert up_to == 102, up_to

    @staticmethod
    @then('a revision that is too large for a message has expired')
    def check_too_large(context: Any) -> None:
        """Check that such a change is read at the service instead."""
        assert context.history.changes_after(103) is None

    @staticmethod
    @given(
        'a relay that has learnt a configuration that is no JSON and has a key'
    )
    def learn_unreadable(context: Any) -> None:
        """Record a configuration whose keys can't be replaced."""
        history = ChangeHistory()
        history.reset(WatchPosition(1, 1))
        fleet = WatchFleet(1)
        context.cleanups.append(fleet.stop)
        context.relay = ChangeRelay(
            history, KvDocuments(), lambda: None, fleet.time.clock
        )
        value = f'{{"{KEY}'.encode()
        context.relay.record(KeyValue('op/config', value, 2, era=1))
        context.relay.on_progress(WatchPosition(1, 2))

    @staticmethod
    @then('its answer holds the key "{key}" without the customer\'s key')
    def check_replaced(context: Any, key: str) -> None:
        """Check that no key leaves the host."""
        answer = context.relay.on_question(ChangesQuestion(1, 1, 0))
        (entry,) = answer.entries
        assert entry.key == key
        assert json.loads(entry.value) == {}, entry.value


def _settle(context: Any) -> None:
    fleet = context.fleet
    for _ in range(6):
        fleet.change_members()
    fleet.run(12)
    context.fault_at = fleet.now


def _play_small(fleet: WatchFleet) -> None:
    fleet.change_members()
    fleet.run(6)
    fleet.service.is_down = True
    fleet.service.wake()
    fleet.run(3)
    fleet.service.is_down = False
    fleet.run(4)
    fleet.service.restore(fleet.service.take_copy())
    fleet.change_members()
    fleet.run(6)


def _direct(context: Any) -> set[str]:
    hosts = context.fleet.live_hosts()
    return {h.name for h in hosts if h.relayed.is_direct}


def _relays(context: Any) -> set[str]:
    fleet = context.fleet
    return {h.name for z in fleet.live for h in fleet.relays(z)}


def _calls(context: Any, after: float) -> list[tuple[float, str, str]]:
    return [c for c in context.fleet.calls if c[0] >= after]


def _parts(
    context: Any, after: float, duration: float = 1.0
) -> list[tuple[int, str, str]]:
    """Return part, host and zone of the calls that follow the service."""
    return [
        (int((at - after) / duration), host, context.fleet.hosts[host].zone)
        for at, host, path in _calls(context, after)
        if path in OWN_CALLS
    ]


def _check_rate(context: Any, after: float, until: float, count: int) -> None:
    made: defaultdict[Any, int] = defaultdict(int)
    for second, _, zone in _parts(context, after):
        if second < until - after:
            made[zone, second] += 1
    assert max(made.values()) <= count, sorted(made.items())


def _record(history: ChangeHistory, first: int, count: int) -> None:
    for revision in range(first, first + count):
        history.record(KeyValue(f'k{revision}', b'1', revision, era=1))
    history.advance(WatchPosition(1, first + count - 1))
