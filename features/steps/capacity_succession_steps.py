"""Steps on the order of succession and the coordinator's view."""

from __future__ import annotations

from typing import Any

from behave import given
from behave import then
from behave import when

from trefoilpulley_core.catalog import Catalog
from trefoilpulley_core.coordination.succession import Succession
from trefoilpulley_core.declarations import Declarations
from trefoilpulley_core.membership.live_hosts import LiveHosts
from trefoilpulley_core.membership.live_hosts import ZoneHosts
from trefoilpulley_node.coordination.observer import DeploymentObserver
from trefoilpulley_standins.measure.catalogue import make_databases
from trefoilpulley_standins.measure.catalogue import make_hosts

UPDATES = 64


def _rank(hosts: Any, databases: Any) -> Succession:
    succession = Succession()
    for _ in range(UPDATES):
        succession.update(hosts, databases)
    return succession


def _shards_of(succession: Succession, region: str) -> list[int]:
    return [
        number
        for number, entries in succession.members.items()
        if all(e.members[0].zone.startswith(f'{region}-') for e in entries)
    ]


def _live(hosts: Any) -> LiveHosts:
    names = tuple(h.name for h in hosts)
    return LiveHosts('', len(names), (ZoneHosts('z', '', names),))


class CapacitySuccessionSteps:
    """Steps on lists of hosts and databases of several regions."""

    @staticmethod
    @given('the capacity lists of {hosts:d} hosts and {databases:d} databases')
    def make_lists(context: Any, hosts: int, databases: int) -> None:
        """Make the lists and rank the hosts for every shard."""
        context.hosts = make_hosts(hosts)
        context.databases = make_databases(databases)
        context.succession = _rank(context.hosts, context.databases)

    @staticmethod
    @given('a capacity observer of {hosts:d} hosts')
    def make_observer(context: Any, hosts: int) -> None:
        """Make an observer whose listed hosts are all live."""
        listed = make_hosts(hosts)
        catalog = Catalog((), listed)
        declarations = Declarations()
        context.live = _live(listed)
        context.observer = DeploymentObserver(
            lambda: catalog, lambda: declarations, lambda: context.live
        )

    @staticmethod
    @when('the capacity observer is queried twice')
    def observe_twice(context: Any) -> None:
        """Request two views."""
        context.views = [context.observer.observe() for _ in range(2)]

    @staticmethod
    @when('a host of the capacity observer fails')
    def stop_host(context: Any) -> None:
        """Remove the last host from the live hosts."""
        context.live = _live(make_hosts(9))

    @staticmethod
    @then('the shards of "{region}" have the same order without other regions')
    def check_order(context: Any, region: str) -> None:
        """Compare with a ranking of the region's hosts only."""
        region_hosts = [h for h in context.hosts if h.region == region]
        expected = _rank(region_hosts, context.databases)
        shards = _shards_of(context.succession, region)
        assert shards
        for shard in shards:
            order = context.succession.ranking(shard)
            assert order == expected.ranking(shard), shard

    @staticmethod
    @then('each shard of "{region}" has a successor in another region')
    def check_other_region(context: Any, region: str) -> None:
        """Expect two successors in the region and one elsewhere."""
        regions = {h.name: h.region for h in context.hosts}
        shards = _shards_of(context.succession, region)
        assert shards
        for shard in shards:
            order = context.succession.ranking(shard)
            found = [regions[host] for host in order]
            assert found.count(region) == 2, found
            assert len(found) == 3, found

    @staticmethod
    @then('it returns the same capacity view')
    def check_same(context: Any) -> None:
        """Expect the same object in both views."""
        assert context.views[0] is context.views[1]

    @staticmethod
    @then('it returns a capacity view of {hosts:d} hosts')
    def check_view(context: Any, hosts: int) -> None:
        """Compare the number of live hosts in a new view."""
        assert len(context.observer.observe().live_hosts) == hosts
