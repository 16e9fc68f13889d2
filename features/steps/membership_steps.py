"""Steps on membership."""

from __future__ import annotations

from functools import partial
import random
from typing import Any

from behave import given
from behave import then
from behave import when
from hypothesis import strategies

from features.fakes.generated import find_violation
from features.fakes.membership_faults import FAULTS
from features.fakes.membership_schedule import FaultKind
from features.fakes.membership_schedule import make_schedules
from features.fakes.membership_schedule import MembershipSchedule
from features.fakes.membership_trace import MembershipReplay
from trefoilpulley_core.catalog import Endpoint
from trefoilpulley_core.catalog import MemberEntry
from trefoilpulley_core.membership.live_hosts import LiveHosts
from trefoilpulley_core.membership.live_hosts import ZoneHosts
from trefoilpulley_core.membership.membership import Membership
from trefoilpulley_core.membership.record import HostRecord
from trefoilpulley_core.membership.record import HostState
from trefoilpulley_core.membership.table import MembershipTable
from trefoilpulley_core.rendezvous import pick_host
from trefoilpulley_core.rendezvous import rank_hosts
from trefoilpulley_standins.membership_fleet import make_entry

MERGE_EXAMPLES = 200
"""Generated orders of records."""

SCHEDULE_EXAMPLES = 25
"""Generated schedules of faults."""

KEYS = 4000
"""Members whose poolers are picked."""

SEEDS = strategies.integers(0, 1000)
"""Seeds of fleets and orders."""

RECORDS = strategies.builds(
    lambda name, incarnation, state: HostRecord(
        make_entry(name, 'a'), incarnation, state
    ),
    strategies.sampled_from(('a-0', 'a-1', 'a-2')),
    strategies.integers(0, 3),
    strategies.sampled_from(HostState),
)
"""Any record of three hosts."""


class MembershipSteps:
    """Steps that replay traces and generated schedules."""

    @staticmethod
    @given('membership with the fault "{fault}"')
    def choose_fault(context: Any, fault: str) -> None:
        """Break one rule for this scenario."""
        context.make_membership = FAULTS[fault]

    @staticmethod
    @when('the membership trace "{trace}" is replayed')
    def replay_trace(context: Any, trace: str) -> None:
        """Replay a trace against the rules."""
        make = getattr(context, 'make_membership', Membership)
        context.replay = MembershipReplay(make)
        context.replay.replay(trace)

    @staticmethod
    @then('every outcome stated beside the membership trace holds')
    def check_outcomes(context: Any) -> None:
        """Expect no wrong outcome, and some outcome."""
        context.replay.check_outcomes()

    @staticmethod
    @then('an outcome stated beside the membership trace fails')
    def check_bite(context: Any) -> None:
        """Expect the broken rule to be noticed."""
        assert context.replay.wrong

    @staticmethod
    @then('membership records merge alike in any order and number')
    def check_merge(context: Any) -> None:
        """Merge generated records in two orders."""

        def merge(records: list[HostRecord], seed: int) -> None:
            shuffled = records * 2
            random.Random(seed).shuffle(shuffled)
            assert _merge(records) == _merge(shuffled)

        lists = strategies.lists(RECORDS)
        violation = find_violation(merge, MERGE_EXAMPLES, lists, SEEDS)
        assert violation is None, violation

    @staticmethod
    @then('after any {count:d} membership faults the hosts agree again')
    def check_schedules(context: Any, count: int) -> None:
        """Run generated schedules of faults."""
        violation = _run_schedules(count, Membership)
        assert violation is None, violation

    @staticmethod
    @then('some {count:d} membership faults leave the hosts divided')
    def check_schedules_bite(context: Any, count: int) -> None:
        """Expect the broken rule to be noticed."""
        assert _run_schedules(count, context.make_membership) is not None

    @staticmethod
    @given('{count:d} live hosts in each of the zones {zones}')
    def make_live(context: Any, count: int, zones: str) -> None:
        """Build a view of equal zones of one region."""
        names = zones.split(', ')
        context.live = LiveHosts('r', 1, tuple(map(_zone(count), names)))

    @staticmethod
    @when('the host that pools the most members of zone {zone} goes')
    def remove_busiest(context: Any, zone: str) -> None:
        """Remove the host with the most members."""
        context.before = _poolers(context.live, zone)
        hosts = context.live.hosts_of(zone)
        busiest = max(hosts, key=context.before.count)
        context.gone = {busiest}
        context.live = _without(context.live, context.gone)
        context.after = _poolers(context.live, zone)

    @staticmethod
    @when('every host of zone {zone} goes')
    def remove_zone(context: Any, zone: str) -> None:
        """Remove all hosts of a zone."""
        context.before = _poolers(context.live, zone)
        context.gone = set(context.live.hosts_of(zone))
        context.live = _without(context.live, context.gone)
        context.after = _poolers(context.live, zone)

    @staticmethod
    @when('a live host of zone a refutes a verdict that nobody has seen')
    def refute(context: Any) -> None:
        """Raise an incarnation in a table of these hosts."""
        table = MembershipTable('r')
        entries = [
            make_entry(host, zone.zone)
            for zone in context.live.zones
            for host in zone.hosts
        ]
        table.apply_list(entries)
        context.seen = table.live_hosts
        assert table.merge(HostRecord(entries[0], 9, HostState.ALIVE))
        context.live = table.live_hosts

    @staticmethod
    @then('the view of the live hosts is the same one as before')
    def check_same_view(context: Any) -> None:
        """Compare the views."""
        assert context.live is context.seen

    @staticmethod
    @then('only the members of the hosts that went have moved')
    def check_moved(context: Any) -> None:
        """Compare the poolers before and after."""
        for before, after in zip(context.before, context.after, strict=True):
            assert (before != after) is (before in context.gone)

    @staticmethod
    @then('the members of zone {zone} are pooled in the zones {zones}')
    def check_zones(context: Any, zone: str, zones: str) -> None:
        """Compare the zones of the poolers."""
        found = {p.split('-')[0] for p in _poolers(context.live, zone)}
        assert found == set(zones.split(', ')), found

    @staticmethod
    @then('no host of zone {zone} pools more than {share:g} times its share')
    def check_balance(context: Any, zone: str, share: float) -> None:
        """Compare the busiest host with an equal share."""
        poolers = _poolers(context.live, zone)
        hosts = context.live.hosts_of(zone)
        busiest = max(map(poolers.count, hosts))
        assert busiest <= share * KEYS / len(hosts), busiest

    @staticmethod
    @then('the owner of a key is the first of its ranked hosts')
    def check_owner(context: Any) -> None:
        """Compare both forms of the same choice."""
        hosts = context.live.hosts_of('a')
        for number in range(KEYS):
            ranked = rank_hosts(f'm{number}', hosts)
            assert sorted(ranked) == sorted(hosts)
            assert ranked[0] == pick_host(f'm{number}', hosts[::-1])


def _run_schedules(
    count: int, make: type[Membership]
) -> AssertionError | None:
    def run(faults: list[Any], seed: int) -> None:
        MembershipSchedule(seed, make).run(faults)

    schedules = make_schedules(tuple(FaultKind), count)
    return find_violation(run, SCHEDULE_EXAMPLES, schedules, SEEDS)


def _merge(records: list[HostRecord]) -> tuple[Any, ...]:
    table = MembershipTable('r')
    for record in records:
        table.merge(record)
    return table.digest, sorted(map(repr, table.records_of(()).hosts))


def _zone(count: int) -> Any:
    return partial(_make_zone, count)


def _make_zone(count: int, zone: str) -> ZoneHosts:
    names = tuple(f'{zone}-{number}' for number in range(count))
    return ZoneHosts(zone, 'r', names)


def _without(live: LiveHosts, gone: set[str]) -> LiveHosts:
    zones = tuple(
        ZoneHosts(z.zone, z.region, tuple(h for h in z.hosts if h not in gone))
        for z in live.zones
    )
    return LiveHosts(live.region, live.version + 1, zones)


def _poolers(live: LiveHosts, zone: str) -> list[str]:
    endpoint = Endpoint('10.0.0.9', 1)
    return [
        live.pooler_of(MemberEntry(f'm{n}', zone, endpoint, 2, 16))
        for n in range(KEYS)
    ]
