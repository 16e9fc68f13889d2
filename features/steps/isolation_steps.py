"""Steps on hosts of a zone that is partitioned from the others."""

from __future__ import annotations

from typing import Any

from behave import given
from behave import then
from behave import when

from features.fakes.isolation_fleet import IsolationFleet
from trefoilpulley_standins.membership_fleet import Fleet
from trefoilpulley_standins.membership_fleet import make_entries

SEEDS = range(5)
WARM_UP_S = 6.0
"""Time before the trouble, longer than the start period of a host."""

SETTLE_S = 3.0
"""Time after the trouble in which hosts return, in seconds."""


class FleetSteps:
    """Steps on the hosts and their traffic."""

    @staticmethod
    @given('zones of {sizes} hosts with primaries in zones {primaries}')
    def make(context: Any, sizes: str, primaries: str) -> None:
        """Create a fleet for each seed."""
        counts = tuple(int(n) for n in sizes.split())
        context.fleets = [IsolationFleet(counts, primaries, s) for s in SEEDS]
        for fleet in context.fleets:
            fleet.run(WARM_UP_S)

    @staticmethod
    @given('only one host of zone 0 makes calls')
    def call_alone(context: Any) -> None:
        """Stop the calls of the other hosts of the zone."""
        for fleet in context.fleets:
            for host in fleet.members('z0')[1:]:
                host.calls_per_s = 0.0

    @staticmethod
    @given('no host makes calls')
    def call_nobody(context: Any) -> None:
        """Stop the calls of all hosts, and wait for those on their way."""
        _set_calls(context, 0.0)
        _run(context, 2.0)
        for fleet in context.fleets:
            fleet.sent = 0

    @staticmethod
    @given('each host makes {count:d} calls per second')
    def call_often(context: Any, count: int) -> None:
        """Set the traffic of all hosts, and let the next calls be made."""
        _set_calls(context, float(count))
        _run(context, 2.0)

    @staticmethod
    @given('notices are lost with probability {lost:g} and {late:g} s late')
    def lose_notices(context: Any, lost: float, late: float) -> None:
        """Lose or delay the notices."""
        for fleet in context.fleets:
            fleet.lost_notices = lost
            fleet.notice_delay = late


class TroubleSteps:
    """Steps on what happens to the zones and hosts."""

    @staticmethod
    @when('zone 0 is cut off "{direction}" for {duration:g} s')
    def cut_zone(context: Any, direction: str, duration: float) -> None:
        """Partition a zone; the seeds differ in the phase of the cut."""
        _cut(context, None, direction, duration)

    @staticmethod
    @when('one host of zone 0 is cut off "{direction}" for {duration:g} s')
    def cut_host(context: Any, direction: str, duration: float) -> None:
        """Cut one host off from all others."""
        _cut(context, {'z0h0'}, direction, duration)

    @staticmethod
    @when('zone 1 stops for {duration:g} s')
    def stop_zone(context: Any, duration: float) -> None:
        """Stop a zone without a sign, and start it again."""
        for fleet in context.fleets:
            for host in fleet.members('z1'):
                host.is_up = False
        _run(context, duration)
        for fleet in context.fleets:
            for host in fleet.members('z1'):
                fleet.start(host.name)
        _run(context, SETTLE_S)

    @staticmethod
    @when('zone 1 answers after {delay:g} s for {duration:g} s')
    def slow_zone(context: Any, delay: float, duration: float) -> None:
        """Let the hosts of a zone take long to answer."""
        for fleet in context.fleets:
            fleet.delay['z1'] = delay
        _run(context, duration)

    @staticmethod
    @when('a host of zone 0 is suspended for {duration:g} s')
    def pause(context: Any, duration: float) -> None:
        """Suspend a host at several times, with calls on their way."""
        for _ in range(5):
            for fleet in context.fleets:
                fleet.hosts['z0h0'].paused_until = fleet.now + duration
            _run(context, duration + 1.03)

    @staticmethod
    @when('3 in 10 packets between zones are lost for {duration:g} s')
    def lose(context: Any, duration: float) -> None:
        """Lose packets for a while."""
        for fleet in context.fleets:
            fleet.loss = 0.3
        _run(context, duration)

    @staticmethod
    @when(
        'all hosts stop and start again over {duration:g} s, zone after zone'
    )
    def restart(context: Any, duration: float) -> None:
        """Stop all hosts at once and start them one by one."""
        for fleet in context.fleets:
            for host in fleet.hosts.values():
                host.is_up = False
            fleet.run(2.0)
            for name in fleet.zones:
                fleet.start(name)
                fleet.run(duration / len(fleet.zones))
        _run(context, 10.0)

    @staticmethod
    @when('zone 0 is cut off for 6 s and a host of it restarts after 2 s')
    def restart_inside(context: Any) -> None:
        """Restart one host while its zone is cut off."""
        context.restarted = 'z0h0'
        for fleet in context.fleets:
            inside = {h.name for h in fleet.members('z0')}
            fleet.cut(inside, 0.0, 6.0)
            fleet.run(2.0)
            fleet.start(context.restarted)
            context.started_at = fleet.now
            fleet.run(3.5)

    @staticmethod
    @given('answers do not tell that a host is isolated')
    def hide(context: Any) -> None:
        """Answer probes as hosts did before."""
        for fleet in context.fleets:
            fleet.shares_isolation = False

    @staticmethod
    @then('the restarted host leaves within {limit:g} s of its start')
    def check_restarted(context: Any, limit: float) -> None:
        """Check that the host does not keep the callers in the zone."""
        for fleet in context.fleets:
            changes = fleet.hosts[context.restarted].changes
            assert changes, 'never'
            assert changes[0] - context.started_at <= limit, changes

    @staticmethod
    @then('the restarted host does not leave')
    def check_unaware(context: Any) -> None:
        """Check that the scenario finds the fault."""
        for fleet in context.fleets:
            assert not fleet.hosts[context.restarted].changes

    @staticmethod
    @when('the zones run for {duration:g} s')
    def wait(context: Any, duration: float) -> None:
        """Let time pass."""
        _run(context, duration)


class MembershipSteps:
    """Steps on the rule that counted the live hosts of the membership."""

    @staticmethod
    @given('3 zones of 10 hosts whose membership has settled')
    def make(context: Any) -> None:
        """Create a fleet of memberships for each seed."""
        entries = make_entries(3, 10)
        context.memberships = [Fleet(seed) for seed in SEEDS]
        for number, fleet in enumerate(context.memberships):
            for entry in entries:
                fleet.add(entry.name, entry.zone, listed=entries)
            fleet.run(15.0 + 0.37 * number)

    @staticmethod
    @when('zone 0 loses the other zones and all 4 primaries for 6 s')
    def cut(context: Any) -> None:
        """Record when each host sees fewer than half of the hosts."""
        context.left = []
        for fleet in context.memberships:
            start = fleet.now
            fleet.cut_link('z0', 'z1')
            fleet.cut_link('z0', 'z2')
            waiting = [h for h in fleet.hosts.values() if h.entry.zone == 'z0']
            while waiting and fleet.now < start + 6.0:
                fleet.run(0.01)
                seen = [h for h in waiting if 2 * len(h.live) < 30]
                waiting = [h for h in waiting if h not in seen]
                context.left += [fleet.now - start for _ in seen]

    @staticmethod
    @then('by the membership its hosts would leave after {limit:g} s')
    def check(context: Any, limit: float) -> None:
        """Check that no host would meet the target; some never leave."""
        assert context.left
        assert min(context.left) > limit, min(context.left)


class ReadinessSteps:
    """Steps on which hosts report themselves as not ready, and when."""

    @staticmethod
    @then('all hosts of zone 0 leave within {limit:g} s, and no others')
    @then(
        'all hosts of zone 0 leave within {limit:g} s of each cut, and no '
        'others'
    )
    def check_zone(context: Any, limit: float) -> None:
        """Check the hosts that leave, and that each does once per cut."""
        for fleet in context.fleets:
            zone = {h.name for h in fleet.members('z0')}
            _check_left(fleet, zone, limit)

    @staticmethod
    @then('just this host leaves within {limit:g} s')
    def check_host(context: Any, limit: float) -> None:
        """Check that the others of the zone stay."""
        for fleet in context.fleets:
            _check_left(fleet, {'z0h0'}, limit)

    @staticmethod
    @then('they return within {limit:g} s of the end, and not before')
    def check_return(context: Any, limit: float) -> None:
        """Check the return of the hosts that have left."""
        for fleet in context.fleets:
            end = fleet.cuts[-1].end
            for host in fleet.hosts.values():
                for at in host.changes[1::2]:
                    assert 0 <= at - end <= limit, (host.name, at - end)

    @staticmethod
    @then('no host leaves')
    def check_none(context: Any) -> None:
        """Check that every host has been ready throughout."""
        for fleet in context.fleets:
            left = {h.name: h.changes for h in fleet.hosts.values()}
            assert not any(left.values()), left

    @staticmethod
    @then('nothing was sent')
    def check_silent(context: Any) -> None:
        """Check that no probe and no notice was sent."""
        sent = [fleet.sent for fleet in context.fleets]
        assert not any(sent), sent


def _run(context: Any, duration: float) -> None:
    for fleet in context.fleets:
        fleet.run(duration)


def _set_calls(context: Any, calls_per_s: float) -> None:
    for fleet in context.fleets:
        for host in fleet.hosts.values():
            host.calls_per_s = calls_per_s


def _cut(
    context: Any, names: set[str] | None, direction: str, duration: float
) -> None:
    for number, fleet in enumerate(context.fleets):
        # The cut falls on another phase of the ticks for each seed.
        fleet.run(0.011 * number)
        inside = names or {h.name for h in fleet.members('z0')}
        fleet.cut(inside, 0.0, duration, direction)
        fleet.run(duration + SETTLE_S - 0.011 * number)


def _check_left(
    fleet: IsolationFleet, expected: set[str], limit: float
) -> None:
    left = {h.name for h in fleet.hosts.values() if h.changes}
    assert left == expected, left ^ expected
    starts = sorted({c.start for c in fleet.cuts})
    for name in expected:
        changes = fleet.hosts[name].changes
        leaves = changes[::2]
        assert len(leaves) == len(starts), (name, changes)
        for at, start in zip(leaves, starts):
            assert 0 < at - start <= limit, (name, at - start)
