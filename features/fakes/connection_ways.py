"""Ways to assign the work of customers to hosts, compared in a replay.

``python -m features.fakes.connection_ways`` prints the tables of
``docs/design/customer-connections.md``.
"""

from __future__ import annotations

from dataclasses import dataclass
from statistics import fmean
from statistics import median
from typing import TYPE_CHECKING

from features.fakes.connection_replay import make_arrivals
from features.fakes.connection_replay import ReplayedPool
from trefoilpulley_core.direct.connection_holders import choose_holders
from trefoilpulley_core.direct.connection_holders import count_share
from trefoilpulley_core.direct.connection_holders import rank_customer_holders
from trefoilpulley_core.direct.connection_holders import rank_holders
from trefoilpulley_core.direct.connection_share import ConnectionShare

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from features.fakes.connection_replay import Arrival

MAX_CONNECTIONS = 82
CUSTOMERS = tuple(f'c{i}' for i in range(85))
LARGEST = frozenset(CUSTOMERS[:5])
HOSTS = tuple(f'host-{i}' for i in range(86))
CAPACITIES = {h: 2.15 if i < 6 else 0.516 for i, h in enumerate(HOSTS)}
ZONES = {z: HOSTS[n::3] for n, z in enumerate('abc')}
SEEDS = range(1, 6)


@dataclass(frozen=True)
class Outcome:
    """What a way needs for a load."""

    opened: int
    """Connections that were opened."""

    open_at_end: int
    """Connections of all hosts that are open at the end."""

    mean_wait_ms: float
    """Mean time without a connection, dials included, in milliseconds."""


def make_share(
    max_connections: int, hosts: int, by_need: bool
) -> ConnectionShare:
    """Return the share of a host."""
    share = ConnectionShare()
    share.update(max_connections, hosts, by_need)
    return share


def replay_ways(group: str, arrivals: Sequence[Arrival]) -> dict[str, Outcome]:
    """Replay the work of one member for each way."""
    holders = choose_holders(
        group, 'a', ZONES, MAX_CONNECTIONS, capacities=CAPACITIES
    )
    count = len(holders.hosts)
    first = {c: rank_customer_holders(group, c, holders)[0] for c in CUSTOMERS}
    nearest = {h: rank_holders(f'{group}/m', h, holders)[0] for h in HOSTS}

    def share_of(host: str, by_need: bool = True) -> ConnectionShare:
        size = count_share(host, holders, MAX_CONNECTIONS)
        return make_share(size, 1, by_need)

    def equal_share(host: str) -> ConnectionShare:
        return make_share(MAX_CONNECTIONS, count, True)

    def by_customer(arrival: Arrival) -> str:
        return first[arrival.customer]

    def by_member(arrival: Arrival) -> str:
        return nearest[HOSTS[arrival.host]]

    def mixed(arrival: Arrival) -> str:
        is_large = arrival.customer in LARGEST
        return by_member(arrival) if is_large else by_customer(arrival)

    return {
        'own pools': _replay(
            arrivals,
            lambda a: HOSTS[a.host],
            lambda h: make_share(MAX_CONNECTIONS, len(HOSTS), False),
        ),
        'by customer': _replay(arrivals, by_customer, share_of),
        'by customer, equal shares': _replay(
            arrivals, by_customer, equal_share
        ),
        'by customer, half kept': _replay(
            arrivals, by_customer, lambda h: share_of(h, False)
        ),
        'by member': _replay(arrivals, by_member, equal_share),
        'mix': _replay(arrivals, mixed, share_of),
    }


def replay_waves(
    seed: int, rate_per_s: float, hold_s: float, by_need: bool
) -> Outcome:
    """Replay 34 s of work without customers at 8 holders with shares of 5."""
    pools = [
        ReplayedPool(make_share(46, 8, by_need)).run(
            tuple(make_arrivals(100 * seed + n, 34, rate_per_s / 8, hold_s))
        )
        for n in range(8)
    ]
    return _sum(pools)


def _replay(
    arrivals: Sequence[Arrival],
    assign: Callable[[Arrival], str],
    share_of: Callable[[str], ConnectionShare],
) -> Outcome:
    work: dict[str, list[Arrival]] = {}
    for arrival in arrivals:
        work.setdefault(assign(arrival), []).append(arrival)
    return _sum([ReplayedPool(share_of(h)).run(w) for h, w in work.items()])


def _sum(pools: Sequence[ReplayedPool]) -> Outcome:
    waits = [w for p in pools for ws in p.waits.values() for w in ws]
    return Outcome(
        sum(p.opened for p in pools),
        sum(p.open_count for p in pools),
        1000 * fmean(waits),
    )


def _print_row(name: str, found: Sequence[Outcome]) -> None:
    opened = [o.opened for o in found]
    print(
        f'| {name} | {median(opened):g} / {max(opened)} '
        f'| {max(o.open_at_end for o in found)} '
        f'| {median(o.mean_wait_ms for o in found):.2f} |'
    )


def main() -> None:
    """Print both tables; median / worst of the seeds."""
    for rate, hold_s in ((72, 0.016), (122, 0.05), (122, 0.1), (122, 0.2)):
        for by_need in (False, True):
            found = [replay_waves(s, rate, hold_s, by_need) for s in SEEDS]
            _print_row(f'{rate}/s, {hold_s} s, need {by_need}', found)
    for rate, hold_s in ((39, 0.033), (66.3, 0.1)):
        ways: dict[str, list[Outcome]] = {}
        for seed in SEEDS:
            arrivals = tuple(make_arrivals(seed, 39, rate, hold_s, CUSTOMERS))
            print(f'seed {seed}: {len(arrivals)} pieces of work')
            for name, outcome in replay_ways(f'g{seed}', arrivals).items():
                ways.setdefault(name, []).append(outcome)
        for name, found in ways.items():
            _print_row(f'{rate}/s, {hold_s} s, {name}', found)


if __name__ == '__main__':
    main()
