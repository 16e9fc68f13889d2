"""Steps on floors, placement, lines and shares."""

from __future__ import annotations

import re
from typing import Any

from behave import given
from behave import then
from behave import when

from trefoilpulley_core.catalog import Endpoint
from trefoilpulley_core.position import Position
from trefoilpulley_core.proxy.connection_share import ConnectionShare
from trefoilpulley_core.proxy.evidence import Evidence
from trefoilpulley_core.proxy.evidence import EvidenceLog
from trefoilpulley_core.proxy.evidence import SessionFloor
from trefoilpulley_core.proxy.group_state import GroupState
from trefoilpulley_core.proxy.group_state import MemberRecord
from trefoilpulley_core.proxy.isolation import IsolationDetector
from trefoilpulley_core.proxy.isolation import Reachability
from trefoilpulley_core.proxy.placement import place_read
from trefoilpulley_core.proxy.routes import ReadFreshness
from trefoilpulley_core.proxy.routes import Route
from trefoilpulley_core.proxy.waiting_line import ConnectionQueue

NOW = 100.0
"""Virtual time of the placements, in seconds."""


def _position(text: str) -> Position:
    term, _, index = text.partition('.')
    return Position(int(term), int(index))


class EvidenceSteps:
    """Steps on the floors of reads."""

    @staticmethod
    @given('proofs {proofs}')
    def record(context: Any, proofs: str) -> None:
        """Record proofs in the order in which they came."""
        context.log = EvidenceLog()
        context.session = SessionFloor()
        for at, position in re.findall(r'at ([\d.]+) s of ([\d.]+)', proofs):
            context.log.record(float(at), _position(position))

    @staticmethod
    @given('the session committed {position} at {at:f} s')
    def commit(context: Any, position: str, at: float) -> None:
        """Note the session's newest commit."""
        context.session = SessionFloor(at, _position(position))

    @staticmethod
    @then(
        'a "{kind}" read of at most {age:f} s at {now:f} s has the floor '
        '{floor}'
    )
    def check_floor(
        context: Any, kind: str, age: float, now: float, floor: str
    ) -> None:
        """Check what a replica must hold."""
        found = context.log.read_floor(_route(kind, age), context.session, now)
        assert found is not None
        assert found.position == _position(floor), found

    @staticmethod
    @then('a "{kind}" read of at most {age:f} s at {now:f} s has no floor')
    def check_none(context: Any, kind: str, age: float, now: float) -> None:
        """Check that only a primary may serve."""
        found = context.log.read_floor(_route(kind, age), context.session, now)
        assert found is None, found

    @staticmethod
    @then('a "{kind}" read at {now:f} s has no floor')
    def check_present(context: Any, kind: str, now: float) -> None:
        """Check that only a primary may serve."""
        EvidenceSteps.check_none(context, kind, 0.0, now)


class PlacementSteps:
    """Steps on the choice of a member."""

    @staticmethod
    @given(
        'a group with the primary "{primary}" and replicas "{replicas}" in '
        'zone "{zone}"'
    )
    def make_group(
        context: Any, primary: str, replicas: str, zone: str
    ) -> None:
        """Make a group whose members are all in one zone."""
        context.names = (primary, *replicas.split())
        context.zone = zone
        context.state = GroupState('ledger')
        PlacementSteps._list(context, '')
        context.state.primary = primary

    @staticmethod
    @given('"{one}" takes {first:d} ms and "{other}" takes {second:d} ms')
    def set_times(
        context: Any, one: str, first: int, other: str, second: int
    ) -> None:
        """Set the mean times of two members."""
        for name, took_ms in ((one, first), (other, second)):
            health = context.state.members[name]
            health.latency_s = took_ms / 1000
            health.last_served_at = NOW

    @staticmethod
    @when('{count:d} statements are in flight at "{name}"')
    def send(context: Any, count: int, name: str) -> None:
        """Put statements in flight."""
        context.state.members[name].in_flight = count

    @staticmethod
    @when('"{one}" and "{other}" stop to answer')
    def fail_two(context: Any, one: str, other: str) -> None:
        """Let two members fail."""
        context.state.members[one].on_unreachable(NOW)
        context.state.members[other].on_unreachable(NOW)

    @staticmethod
    @when('"{name}" stops to answer too')
    def fail(context: Any, name: str) -> None:
        """Let a member fail."""
        context.state.members[name].on_unreachable(NOW)

    @staticmethod
    @when('"{name}" is leaving')
    def leave(context: Any, name: str) -> None:
        """Let a member announce its end."""
        PlacementSteps._list(context, name)

    @staticmethod
    @when('"{name}" was behind a floor of {age:d} ms')
    def lag(context: Any, name: str, age: int) -> None:
        """Let a member refuse a floor."""
        context.state.members[name].on_floor_missing(age / 1000, NOW)

    @staticmethod
    @when('"{name}" refuses a read')
    def refuse(context: Any, name: str) -> None:
        """Let a member refuse the read that is placed next."""
        context.refused = frozenset({name})

    @staticmethod
    @when('{passed:d} s have passed')
    def wait(context: Any, passed: int) -> None:
        """Look at the group later; the speeds are seen anew."""
        context.now = NOW + passed
        for health in context.state.members.values():
            health.last_served_at = context.now

    @staticmethod
    @then('a bounded read goes to "{name}"')
    def check_place(context: Any, name: str) -> None:
        """Check the chosen member."""
        found = PlacementSteps._place(context)
        assert found is not None
        assert found.member == name, found

    @staticmethod
    @then('a bounded read goes nowhere')
    def check_nowhere(context: Any) -> None:
        """Check that the read is turned away."""
        assert PlacementSteps._place(context) is None

    @staticmethod
    def _place(context: Any) -> Any:
        now = getattr(context, 'now', NOW)
        floor = Evidence(now - 1.0, Position(1, 10))
        refused = getattr(context, 'refused', frozenset())
        return place_read(context.state, floor, context.zone, refused, now)

    @staticmethod
    def _list(context: Any, leaving: str) -> None:
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


class LineSteps:
    """Steps on waiting for a connection."""

    @staticmethod
    @given('a line for {connections:d} connections held {hold:d} ms each')
    def make_line(context: Any, connections: int, hold: int) -> None:
        """Make an empty line."""
        context.line = ConnectionQueue()
        context.line.mean_hold_s = hold / 1000
        context.connections = connections

    @staticmethod
    @when(
        'work "{a}" of priority {pa:d}, "{b}" of priority {pb:d} and "{c}" '
        'of priority {pc:d} waits'
    )
    def wait(
        context: Any, a: str, pa: int, b: str, pb: int, c: str, pc: int
    ) -> None:
        """Let three pieces of work wait."""
        for name, priority in ((a, pa), (b, pb), (c, pc)):
            assert LineSteps._join(context, priority, 5.0, name)

    @staticmethod
    @then('the line serves "{names}"')
    def check_order(context: Any, names: str) -> None:
        """Check the order of service."""
        served = []
        while (work := context.line.pop(NOW)) is not None:
            served.append(work.handle)
        assert served == names.split(), served

    @staticmethod
    @then(
        'work of priority {priority:d} with {left:d} ms left is refused '
        'behind {count:d} others'
    )
    def check_refused(
        context: Any, priority: int, left: int, count: int
    ) -> None:
        """Check that late work is turned away at once."""
        for number in range(count):
            assert LineSteps._join(context, priority, 5.0, number)
        assert not LineSteps._join(context, priority, left / 1000, 'late')

    @staticmethod
    @then('work of priority {priority:d} with {left:d} ms left is taken')
    def check_taken(context: Any, priority: int, left: int) -> None:
        """Check that important work goes before the others."""
        assert LineSteps._join(context, priority, left / 1000, 'next')

    @staticmethod
    def _join(context: Any, priority: int, left_s: float, name: Any) -> bool:
        work = context.line.enqueue(
            priority,
            NOW + left_s,
            NOW,
            context.connections,
            context.line.mean_hold_s,
            name,
        )
        return work is not None


class ShareSteps:
    """Steps on the shares of a member's connections."""

    @staticmethod
    @given('a share of {limit:d} connections among {hosts:d} hosts')
    def make_share(context: Any, limit: int, hosts: int) -> None:
        """Make the share of one host."""
        context.share = ConnectionShare()
        context.share.update(limit, hosts)

    @staticmethod
    @when('the member refuses a connection')
    def refuse(context: Any) -> None:
        """Let the member be full."""
        context.share.on_refused(NOW)

    @staticmethod
    @then('{most:d} connections may be open and {kept:d} is kept')
    def check_share(context: Any, most: int, kept: int) -> None:
        """Check both limits."""
        assert context.share.limit(NOW) == most, context.share.limit(NOW)
        assert context.share.min_idle == kept, context.share.min_idle


class IsolationSteps:
    """Steps on a host that is cut off."""

    @staticmethod
    @given(
        'a host that reaches {hosts:d} of {all_hosts:d} hosts and misses '
        '{lost:d} of {groups:d} primaries'
    )
    def look(
        context: Any, hosts: int, all_hosts: int, lost: int, groups: int
    ) -> None:
        """Note what the host reaches."""
        context.isolation = IsolationDetector()
        seen = Reachability(groups, lost, all_hosts, hosts)
        context.isolation.update(seen, NOW)

    @staticmethod
    @then('after 1 s it {verdict} as cut off')
    def check_isolated(context: Any, verdict: str) -> None:
        """Check whether the host leaves the balancer."""
        is_cut_off = context.isolation.duration_s(NOW + 1.0) > 0
        assert is_cut_off is (verdict == 'counts')


def _route(kind: str, age_s: float) -> Route:
    return Route('db', 'ledger', ReadFreshness(kind), 1.0, 0.2, 1, age_s)
