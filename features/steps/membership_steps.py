"""Steps on membership and on the choice of poolers."""

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
"""Number of generated lists of records."""

SCHEDULE_EXAMPLES = 25
"""Number of generated schedules of faults."""

MEMBER_COUNT = 4000
"""Number of members for which a pooler is chosen."""

SEED_STRATEGY = strategies.integers(0, 1000)
"""Seeds of the fleets and of the shuffled lists."""

RECORD_STRATEGY = strategies.builds(
    lambda name, incarnation, state: HostRecord(
        make_entry(name, 'a'), incarnation, state
    ),
    strategies.sampled_from(('a-0', 'a-1', 'a-2')),
    strategies.integers(0, 3),
    strategies.sampled_from(HostState),
)
"""Generated records of three hosts."""


class MembershipSteps:
    """Steps on traces, generated schedules and poolers."""

    @staticmethod
    @given('membership with the fault "{fault}"')
    def choose_fault(context: Any, fault: str) -> None:
        """Select a membership with one broken rule."""
        context.make_membership = FAULTS[fault]

    @staticmethod
    @when('the membership trace "{trace}" is replayed')
    def replay_trace(context: Any, trace: str) -> None:
        """Replay a trace with the selected membership."""
        make_membership = getattr(context, 'make_membership', Membership)
        context.replay = MembershipReplay(make_membership)
        context.replay.replay(trace)

    @staticmethod
    @then('every outcome of the membership trace holds')
    def check_outcomes(context: Any) -> None:
        """Check that there are outcomes and that all of them hold."""
        context.replay.check_outcomes()

    @staticmethod
    @then('an outcome of the membership trace fails')
    def check_outcome_fails(context: Any) -> None:
        """Check that the outcomes detect the broken rule."""
        assert context.replay.failed_outcomes

    @staticmethod
    @then('membership records merge equally in any order and number')
    def check_merge(context: Any) -> None:
        """Merge generated records once, and twice in another order."""

        def merge(records: list[HostRecord], seed: int) -> None:
            shuffled = records * 2
            random.Random(seed).shuffle(shuffled)
            assert _merged_state(records) == _merged_state(shuffled)

        lists = strategies.lists(RECORD_STRATEGY)
        violation = find_violation(merge, MERGE_EXAMPLES, lists, SEED_STRATEGY)
        assert violation is None, violation

    @staticmethod
    @then('after any {count:d} membership faults the hosts converge')
    def check_schedules(context: Any, count: int) -> None:
        """Check that no generated schedule violates an invariant."""
        violation = _run_schedules(count, Membership)
        assert violation is None, violation

    @staticmethod
    @then('after some {count:d} membership faults the hosts do not converge')
    def check_schedules_fail(context: Any, count: int) -> None:
        """Check that a generated schedule detects the broken rule."""
        assert _run_schedules(count, context.make_membership) is not None

    @staticmethod
    @given('{count:d} live hosts in each of the zones {zones}')
    def make_live(context: Any, count: int, zones: str) -> None:
        """Create a view of zones of equal size in one region."""
        zone_names = zones.split(', ')
        context.live = LiveHosts(
            'r', 1, tuple(map(_zone_factory(count), zone_names))
        )

    @staticmethod
    @when('the host that pools the most members of zone {zone} is removed')
    def remove_most_loaded(context: Any, zone: str) -> None:
        """Remove the host with the most members."""
        context.before = _poolers(context.live, zone)
        hosts = context.live.hosts_of(zone)
        most_loaded = max(hosts, key=context.before.count)
        context.removed = {most_loaded}
        context.live = _without(context.live, context.removed)
        context.after = _poolers(context.live, zone)

    @staticmethod
    @when('every host of zone {zone} is removed')
    def remove_zone(context: Any, zone: str) -> None:
        """Remove all hosts of a zone."""
        context.before = _poolers(context.live, zone)
        context.removed = set(context.live.hosts_of(zone))
        context.live = _without(context.live, context.removed)
        context.after = _poolers(context.live, zone)

    @staticmethod
    @when('a live host of zone a refutes a suspicion that no other host knows')
    def refute(context: Any) -> None:
        """Merge a record with a higher incarnation into a table."""
        table = MembershipTable('r')
        entries = [
            make_entry(host, zone.zone)
            for zone in context.live.zones
            for host in zone.hosts
        ]
        table.apply_list(entries)
        context.view = table.live_hosts
        assert table.merge(HostRecord(entries[0], 9, HostState.ALIVE))
        context.live = table.live_hosts

    @staticmethod
    @then('the view of the live hosts is the same object as before')
    def check_view_unchanged(context: Any) -> None:
        """Check that no new view was created."""
        assert context.live is context.view

    @staticmethod
    @then('only the members of the removed hosts have another pooler')
    def check_moved(context: Any) -> None:
        """Compare the poolers before and after the removal."""
        for before, after in zip(context.before, context.after, strict=True):
            assert (before != after) is (before in context.removed)

    @staticmethod
    @then('the members of zone {zone} are pooled in the zones {zones}')
    def check_zones(context: Any, zone: str, zones: str) -> None:
        """Check the zones of the poolers of a zone's members."""
        found = {p.split('-')[0] for p in _poolers(context.live, zone)}
        assert found == set(zones.split(', ')), found

    @staticmethod
    @then('no host of zone {zone} pools more than {share:g} times its share')
    def check_balance(context: Any, zone: str, share: float) -> None:
        """Compare the most loaded host with an equal share."""
        poolers = _poolers(context.live, zone)
        hosts = context.live.hosts_of(zone)
        most_loaded = max(map(poolers.count, hosts))
        assert most_loaded <= share * MEMBER_COUNT / len(hosts), most_loaded

    @staticmethod
    @then('the owner of a key is the host that is ranked first')
    def check_owner(context: Any) -> None:
        """Check that ``pick_host`` and ``rank_hosts`` agree."""
        hosts = context.live.hosts_of('a')
        for number in range(MEMBER_COUNT):
            ranked = rank_hosts(f'm{number}', hosts)
            assert sorted(ranked) == sorted(hosts)
            assert ranked[0] == pick_host(f'm{number}', hosts[::-1])


def _run_schedules(
    count: int, make_membership: type[Membership]
) -> AssertionError | None:
    def run(faults: list[Any], seed: int) -> None:
        MembershipSchedule(seed, make_membership).run(faults)

    schedules = make_schedules(tuple(FaultKind), count)
    return find_violation(run, SCHEDULE_EXAMPLES, schedules, SEED_STRATEGY)


def _merged_state(records: list[HostRecord]) -> tuple[Any, ...]:
    table = MembershipTable('r')
    for record in records:
        table.merge(record)
    return table.digest, sorted(map(repr, table.records_of(()).hosts))


def _zone_factory(count: int) -> Any:
    return partial(_make_zone, count)


def _make_zone(count: int, zone: str) -> ZoneHosts:
    host_names = tuple(f'{zone}-{number}' for number in range(count))
    return ZoneHosts(zone, 'r', host_names)


def _without(live: LiveHosts, removed: set[str]) -> LiveHosts:
    zones = tuple(
        ZoneHosts(
            z.zone, z.region, tuple(h for h in z.hosts if h not in removed)
        )
        for z in live.zones
    )
    return LiveHosts(live.region, live.version + 1, zones)


def _poolers(live: LiveHosts, zone: str) -> list[str]:
    endpoint = Endpoint('10.0.0.9', 1)
    return [
        live.pooler_of(MemberEntry(f'm{n}', zone, endpoint, 2, 16))
        for n in range(MEMBER_COUNT)
    ]
