"""Steps on read floors, placement, queues, shares and isolation."""

from __future__ import annotations

import re
from typing import Any

from behave import given
from behave import then
from behave import when

from features.fakes.connection_requests import make_request
from trefoilpulley_core.catalog import Endpoint
from trefoilpulley_core.direct.connection_queue import ConnectionQueue
from trefoilpulley_core.direct.connection_share import ConnectionShare
from trefoilpulley_core.direct.evidence import Evidence
from trefoilpulley_core.direct.evidence import EvidenceLog
from trefoilpulley_core.direct.evidence import SessionFloor
from trefoilpulley_core.direct.group_state import GroupState
from trefoilpulley_core.direct.group_state import MemberRecord
from trefoilpulley_core.direct.isolation import Reachability
from trefoilpulley_core.direct.placement import place_read
from trefoilpulley_core.direct.routes import ReadFreshness
from trefoilpulley_core.direct.routes import Route
from trefoilpulley_core.position import Position

NOW = 100.0
"""Virtual time at which most scenarios take place, in seconds."""


def _position(text: str) -> Position:
    term, _, index = text.partition('.')
    return Position(int(term), int(index))


class EvidenceSteps:
    """Steps on the floors of reads."""

    @staticmethod
    @given('evidence {entries}')
    def record(context: Any, entries: str) -> None:
        """Record evidence in the given order."""
        context.log = EvidenceLog()
        context.session = SessionFloor()
        for at, position in re.findall(r'at ([\d.]+) s of ([\d.]+)', entries):
            context.log.record(float(at), _position(position))

    @staticmethod
    @given('the session committed {position} at {at:f} s')
    def commit(context: Any, position: str, at: float) -> None:
        """Set the session's newest commit."""
        context.session = SessionFloor(at, _position(position))

    @staticmethod
    @then(
        'a "{kind}" read of at most {age:f} s at {now:f} s has the floor '
        '{floor}'
    )
    def check_floor(
        context: Any, kind: str, age: float, now: float, floor: str
    ) -> None:
        """Check the position that a replica must hold."""
        found = context.log.read_floor(_route(kind, age), context.session, now)
        assert found is not None
        assert found.position == _position(floor), found

    @staticmethod
    @then('a "{kind}" read of at most {age:f} s at {now:f} s has no floor')
    def check_no_floor(
        context: Any, kind: str, age: float, now: float
    ) -> None:
        """Check that only the primary may serve the read."""
        found = context.log.read_floor(_route(kind, age), context.session, now)
        assert found is None, found

    @staticmethod
    @then('a "{kind}" read at {now:f} s has no floor')
    def check_present_read(context: Any, kind: str, now: float) -> None:
        """Check that only the primary may serve the read."""
        EvidenceSteps.check_no_floor(context, kind, 0.0, now)


class PlacementSteps:
    """Steps on the placement of a read."""

    @staticmethod
    @given(
        'a group with the primary "{primary}" and replicas "{replicas}" in '
        'zone "{zone}"'
    )
    def make_group(
        context: Any, primary: str, replicas: str, zone: str
    ) -> None:
        """Create a group whose members are all in one zone."""
        context.names = (primary, *replicas.split())
        context.zone = zone
        context.state = GroupState('ledger')
        PlacementSteps._update_members(context, '')
        context.state.primary = primary

    @staticmethod
    @given(
        'a group {way} holders, the primary "{primary}" in zone "{zone}", '
        '"{r}" in "{zone_r}" and "{s}" in "{zone_s}"'
    )
    def make_spread_group(context: Any, way: str, **names: str) -> None:
        """Create a group with one member in each zone."""
        zones = {
            names['primary']: names['zone'],
            names['r']: names['zone_r'],
            names['s']: names['zone_s'],
        }
        context.state = GroupState('ledger')
        context.state.update(
            MemberRecord(
                name,
                'ledger',
                Endpoint('127.0.0.1', 1),
                zone,
                name == names['primary'],
                False,
            )
            for name, zone in zones.items()
        )
        context.state.has_holders = way == 'with'
        context.now = NOW

    @staticmethod
    @when('work waits for "{name}"')
    def set_queue(context: Any, name: str) -> None:
        """Record that work waited for a member."""
        context.state.members[name].queued_at = NOW

    @staticmethod
    @when('"{name}" refuses a statement for load')
    def set_busy(context: Any, name: str) -> None:
        """Record a refusal; the time for which reads avoid it passes."""
        context.state.members[name].on_busy(NOW)
        context.now = NOW + 0.1

    @staticmethod
    @given('a commit proved each {step:d} ms, up to {until:f} s')
    def record_evidence(context: Any, step: int, until: float) -> None:
        """Record one commit with each piece of evidence."""
        context.now = until
        for number in range(round(1000 * until / step) + 1):
            at = number * step / 1000
            context.state.evidence.record(at, _position_at(at))

    @staticmethod
    @when('"{name}" reports the position of {at:f} s')
    def report_position(context: Any, name: str, at: float) -> None:
        """Record a reply of a replica."""
        health = context.state.members[name]
        health.on_answer(context.now, _position_at(at))

    @staticmethod
    @when('"{name}" refuses a floor of {age:d} ms at the position of {at:f} s')
    def report_missing(context: Any, name: str, at: float, age: int) -> None:
        """Record the refusal of a replica that lags."""
        PlacementSteps.report_position(context, name, at)
        health = context.state.members[name]
        health.on_floor_missing(age / 1000, context.now)

    @staticmethod
    @when('"{name}" becomes unreachable alone')
    def lose_one(context: Any, name: str) -> None:
        """Record that a member is unreachable."""
        context.state.members[name].on_unreachable(context.now)

    @staticmethod
    @then('a read of data {age:f} s old goes to {place}')
    def check_age_place(context: Any, age: float, place: str) -> None:
        """Check the member that serves a read with a floor of an age."""
        floor = context.state.evidence.oldest_since(context.now - age)
        found = place_read(
            context.state, floor, context.zone, frozenset(), context.now
        )
        if place == 'a replica':
            assert found.member != context.state.primary, found
        else:
            assert found.member == place.strip('"'), found

    @staticmethod
    @then('a bounded read in zone "{zone}" goes to {place}')
    def check_zone_place(context: Any, zone: str, place: str) -> None:
        """Check the member that serves the reads of a zone."""
        context.zone = zone
        found = PlacementSteps._find_placement(context)
        if place == 'a replica':
            assert found.member != context.state.primary, found
        else:
            assert found.member == place.strip('"'), found

    @staticmethod
    @given(
        '"{one}" has a latency of {first:d} ms and "{other}" of {second:d} ms'
    )
    def set_latencies(
        context: Any, one: str, first: int, other: str, second: int
    ) -> None:
        """Set the mean latencies of two members."""
        for name, latency_ms in ((one, first), (other, second)):
            health = context.state.members[name]
            health.latency_s = latency_ms / 1000
            health.last_served_at = NOW

    @staticmethod
    @when('{count:d} statements are in flight at "{name}"')
    def set_in_flight(context: Any, count: int, name: str) -> None:
        """Set the number of statements in flight at a member."""
        context.state.members[name].in_flight = count

    @staticmethod
    @when('"{one}" and "{other}" become unreachable')
    def lose_two(context: Any, one: str, other: str) -> None:
        """Record that two members are unreachable."""
        context.state.members[one].on_unreachable(NOW)
        context.state.members[other].on_unreachable(NOW)

    @staticmethod
    @when('"{name}" becomes unreachable too')
    def lose(context: Any, name: str) -> None:
        """Record that a member is unreachable."""
        context.state.members[name].on_unreachable(NOW)

    @staticmethod
    @when('"{name}" is leaving')
    def leave(context: Any, name: str) -> None:
        """Record that a member announced its planned stop."""
        PlacementSteps._update_members(context, name)

    @staticmethod
    @when('"{name}" was behind a floor of {age:d} ms')
    def refuse_floor(context: Any, name: str, age: int) -> None:
        """Record that a member refused a read as it lacks the floor."""
        context.state.members[name].on_floor_missing(age / 1000, NOW)

    @staticmethod
    @when('"{name}" refuses a read')
    def refuse_read(context: Any, name: str) -> None:
        """Exclude a member that refused the read from its next placement."""
        context.refused = frozenset({name})

    @staticmethod
    @when('{passed:d} s have passed')
    def advance(context: Any, passed: int) -> None:
        """Advance the time, with latencies that are measured anew."""
        context.now = NOW + passed
        for health in context.state.members.values():
            health.last_served_at = context.now

    @staticmethod
    @then('a bounded read goes to "{name}"')
    def check_place(context: Any, name: str) -> None:
        """Check the member that is chosen for the read."""
        placement = PlacementSteps._find_placement(context)
        assert placement is not None
        assert placement.member == name, placement

    @staticmethod
    @then('a bounded read goes to no member')
    def check_no_member(context: Any) -> None:
        """Check that no member is chosen for the read."""
        assert PlacementSteps._find_placement(context) is None

    @staticmethod
    def _find_placement(context: Any) -> Any:
        now = getattr(context, 'now', NOW)
        floor = Evidence(now - 1.0, Position(1, 10))
        refused = getattr(context, 'refused', frozenset())
        return place_read(context.state, floor, context.zone, refused, now)

    @staticmethod
    def _update_members(context: Any, leaving: str) -> None:
        context.state.update(
            MemberRecord(
                name,
                'ledger',
                Endpoint('127.0.0.1', 1),
                context.zone,
                name == context.names[0],
                name == leaving,
            )
            for name in context.names
        )


class QueueSteps:
    """Steps on the queue for connections."""

    @staticmethod
    @given(
        'a queue for {connections:d} connections with a hold time of '
        '{hold_ms:d} ms'
    )
    def make_queue(context: Any, connections: int, hold_ms: int) -> None:
        """Create an empty queue."""
        context.queue = ConnectionQueue()
        context.queue.mean_hold_s = hold_ms / 1000
        context.connections = connections

    @staticmethod
    @when(
        'work "{a}" of priority {pa:d}, "{b}" of priority {pb:d} and "{c}" '
        'of priority {pc:d} is queued'
    )
    def enqueue_work(
        context: Any, a: str, pa: int, b: str, pb: int, c: str, pc: int
    ) -> None:
        """Add three pieces of work to the queue."""
        for name, priority in ((a, pa), (b, pb), (c, pc)):
            assert QueueSteps._enqueue(context, priority, 5.0, name)

    @staticmethod
    @then('the queue serves "{names}"')
    def check_order(context: Any, names: str) -> None:
        """Check the order in which the queue hands out its work."""
        served = []
        while (work := context.queue.pop(NOW)) is not None:
            served.append(work.handle)
        assert served == names.split(), served

    @staticmethod
    @then(
        'work of priority {priority:d} with {left_ms:d} ms left is refused '
        'behind {count:d} others'
    )
    def check_refused(
        context: Any, priority: int, left_ms: int, count: int
    ) -> None:
        """Check that work that would be served too late is not queued."""
        for number in range(count):
            assert QueueSteps._enqueue(context, priority, 5.0, number)
        assert not QueueSteps._enqueue(
            context, priority, left_ms / 1000, 'late'
        )

    @staticmethod
    @then('work of priority {priority:d} with {left_ms:d} ms left is queued')
    def check_queued(context: Any, priority: int, left_ms: int) -> None:
        """Check that work of a higher priority is queued before the others."""
        assert QueueSteps._enqueue(context, priority, left_ms / 1000, 'next')

    @staticmethod
    def _enqueue(
        context: Any, priority: int, left_s: float, name: Any
    ) -> bool:
        work = context.queue.enqueue(
            make_request(priority, NOW + 60, NOW + left_s),
            NOW,
            context.connections,
            context.queue.mean_hold_s,
            name,
        )
        return work is not None


class ShareSteps:
    """Steps on the share of a host in a member's connections."""

    @staticmethod
    @given('a share of {limit:d} connections among {hosts:d} hosts')
    def make_share(context: Any, limit: int, hosts: int) -> None:
        """Create the share of one host."""
        context.share = ConnectionShare()
        context.share.update(limit, hosts)

    @staticmethod
    @when('the member refuses a connection')
    def refuse_connection(context: Any) -> None:
        """Record that the member refused a connection."""
        context.share.on_refused(NOW)

    @staticmethod
    @then(
        '{max_open:d} connections may be open and {min_idle:d} stays open '
        'when idle'
    )
    def check_share(context: Any, max_open: int, min_idle: int) -> None:
        """Check the maximum of open and the minimum of idle connections."""
        assert context.share.limit(NOW) == max_open, context.share.limit(NOW)
        assert context.share.min_idle == min_idle, context.share.min_idle


class IsolationSteps:
    """Steps on the detection of an isolated host."""

    @staticmethod
    @given(
        'a host that reaches {hosts:d} of {all_hosts:d} hosts and has lost '
        '{lost:d} of {groups:d} primaries'
    )
    def observe(
        context: Any, hosts: int, all_hosts: int, lost: int, groups: int
    ) -> None:
        """Record the hosts and primaries that the host reaches."""
        context.reachability = Reachability(groups, lost, all_hosts, hosts)

    @staticmethod
    @then('the host {verdict} as isolated')
    def check_isolated(context: Any, verdict: str) -> None:
        """Check whether the host would be removed from the balancer."""
        is_isolated = context.reachability.is_isolated
        assert is_isolated is (verdict == 'counts')


def _position_at(at: float) -> Position:
    return Position(1, 1 + round(10 * at))


def _route(kind: str, age_s: float) -> Route:
    return Route('db', 'ledger', ReadFreshness(kind), 1.0, 0.2, 1, age_s)
