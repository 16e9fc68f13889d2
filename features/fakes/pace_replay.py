"""Replay of reads against a group with a member that starts, in virtual time.

Hosts do not see each other's work. Their placement and pace are those of the
core. Each member has slots and a bounded queue in order of arrival.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from dataclasses import field
import heapq
import math
import random
from typing import Any
from typing import TYPE_CHECKING

from trefoilpulley_core.catalog import Endpoint
from trefoilpulley_core.direct.evidence import Evidence
from trefoilpulley_core.direct.group_state import GroupState
from trefoilpulley_core.direct.group_state import MemberRecord
from trefoilpulley_core.direct.member_pace import MemberPace
from trefoilpulley_core.direct.member_pace import PaceReason
from trefoilpulley_core.direct.placement import place_read
from trefoilpulley_core.position import BEGINNING
from trefoilpulley_core.position import Position

if TYPE_CHECKING:
    from collections.abc import Callable


SLOTS = 6
"""Slots of a member."""

MAX_QUEUE = 12
"""Statements that wait at a member before it refuses more."""

WORK_S = 0.033
"""Mean time for which a statement occupies a slot, in seconds."""

WRITE_PART = 0.2
"""Part of the requests that only the primary can serve."""

GOAL_S = 0.4
"""Time by which a statement must be answered, in seconds."""

COLD_FACTOR = 1.6
"""Factor of the work at a cold member; falls to 1 in `COLD_S`."""

COLD_S = 6.0
"""Time for which a member is cold, in seconds."""

DIAL_S = 0.012
"""Time for which the first statement of a host occupies a slot more."""

RAMP_S = 5.0
"""Length of the fixed ramp, in seconds."""

BIN_S = 0.5
"""Time over which the share of a member is counted, in seconds."""

FAIR_PART = 0.8
"""Part of the mean of its peers that a member carries at its fair share."""


class NoPace(MemberPace):
    """Behaviour without a pace."""

    def begin(self, reason: PaceReason) -> None:
        """Do nothing."""


class FixedRamp(MemberPace):
    """Part that rises with time alone."""

    def __init__(self, clock: Callable[[], float], *args: Any) -> None:
        super().__init__(*args)
        self._clock = clock
        self._began_at = float('-inf')

    def begin(self, reason: PaceReason) -> None:
        """Begin the ramp."""
        self.reason = reason
        self._began_at = self._clock()

    @property
    def fraction(self) -> float:
        """Part of the ramp that has passed."""
        age_s = self._clock() - self._began_at
        return min(1.0, 0.1 + age_s / RAMP_S)

    def on_served(self, kind: str, duration_s: float, now: float) -> None:
        """End the ramp after its length."""
        if self.fraction >= 1:
            self.reason = None

    def on_busy(self, now: float) -> None:
        """Ignore refusals."""


@dataclass
class FakeMember:
    """Member with slots and a queue."""

    name: str
    """Identifier."""

    born: int = 0
    """Incarnation."""

    cold_until: float = 0.0
    """Time at which the member is warm, in seconds."""

    is_up: bool = True
    """Whether the member answers."""

    factor: float = 1.0
    """Factor of the work at any time."""

    running: int = 0
    """Statements in slots."""

    queue: deque = field(default_factory=deque)
    """Statements that wait."""

    dialled: set[int] = field(default_factory=set)
    """Hosts that have a connection."""

    def work_factor(self, now: float) -> float:
        """Return the factor of the work at a time."""
        rest = max(0.0, self.cold_until - now) / COLD_S
        return self.factor * (1 + (COLD_FACTOR - 1) * rest)


@dataclass(frozen=True)
class Event:
    """Change of a member at a time."""

    at: float
    """Time in seconds."""

    member: int
    """Number of the member."""

    change: str
    """`crash`, `return`, `promote`, `slow`, `power` or `holders`.

    With `power` all members and hosts start again, with `holders` half of the
    hosts.
    """

    is_cold: bool = True
    """Whether a member that returns is cold."""


@dataclass
class PaceFigures:
    """Outcome at the watched member after its first return or promotion."""

    fair_s: float | None = None
    """Time until the member carries its fair share, in seconds."""

    late: int = 0
    """Requests at the member that missed their goal."""

    refused: int = 0
    """Requests that the member refused."""

    served: int = 0
    """Requests that the member served."""

    paced_hosts: int = 0
    """Hosts that still pace the member at the end."""


class PaceReplay:
    """One group and its hosts.

    Parameters
    ----------
    way : str
        `none`, `ramp` or `pace`.
    seed : int
        Seed of the arrivals and of the work.
    hosts : int
        Number of hosts.
    rate_per_s : float
        Reads per second of all hosts.
    """

    def __init__(
        self,
        way: str,
        seed: int,
        hosts: int = 8,
        rate_per_s: float = 300.0,
    ) -> None:
        self._way = way
        self._rng = random.Random(seed)
        self._rate_per_s = rate_per_s
        self._limit = 6 if hosts > 1 else 18
        self._count = hosts
        self.now = 0.0
        self._heap: list[tuple[float, int, Callable[..., None], Any]] = []
        self._ids = 0
        self.members = [FakeMember(f'm{i}') for i in range(3)]
        self._primary = 0
        self._groups = [self._make_group() for _ in range(hosts)]
        self._waiting: dict[tuple[int, str], deque] = {}
        self._bins: dict[tuple[int, str], int] = {}
        self._writes: dict[int, int] = {}
        self._unsent: list[tuple[int, float]] = []
        self.watched = 'm2'
        self._since = float('inf')
        self.figures = PaceFigures()

    def _restart_hosts(self, count: int) -> None:
        """Start hosts again, without what they know."""
        for host in range(count):
            for name in (m.name for m in self.members):
                self._waiting.pop((host, name), None)
            self._groups[host] = self._make_group()

    def run(
        self, duration_s: float, events: tuple[Event, ...], watched: int = 2
    ) -> PaceFigures:
        """Replay reads and events."""
        self.watched = f'm{watched}'
        self._since = next(
            e.at for e in events if e.member == watched and e.change != 'crash'
        )
        for event in events:
            self._at(event.at, self._change, event)
        self._at(0.0, self._arrive, None)
        while self._heap and self._heap[0][0] <= duration_s:
            self.now, _, run, arg = heapq.heappop(self._heap)
            run(arg)
        figures = self.figures
        figures.fair_s = self._find_fair_s(duration_s)
        figures.paced_hosts = sum(
            g.members[self.watched].pace.reason is not None
            for g in self._groups
        )
        return figures

    def _make_group(self) -> GroupState:
        group = GroupState('g')
        self._update(group)
        return group

    def _update(self, group: GroupState) -> None:
        known = dict(group.members)
        group.update(
            MemberRecord(
                m.name,
                'g',
                Endpoint('127.0.0.1', 1),
                'a',
                i == self._primary,
                False,
                m.born,
            )
            for i, m in enumerate(self.members)
        )
        for name, health in group.members.items():
            if self._way == 'pace' or known.get(name) is health:
                continue
            # The other ways begin where the pace of the product does.
            old = health.pace
            health.pace = (
                NoPace()
                if self._way == 'none'
                else FixedRamp(lambda: self.now)
            )
            if known:
                health.pace.begin(old.reason or PaceReason.RESTARTED)

    def _at(self, at: float, run: Callable[..., None], arg: Any) -> None:
        self._ids += 1
        heapq.heappush(self._heap, (at, self._ids, run, arg))

    def _change(self, event: Event) -> None:
        member = self.members[event.member]
        if event.change == 'slow':
            member.factor = 2.5
        if event.change == 'crash':
            member.is_up = False
            waiting = (*member.queue,)
            member.queue.clear()
            for item in waiting:
                self._answer(member, item, 'lost')
            for group in self._groups:
                group.members[member.name].on_unreachable(self.now)
        if event.change in ('return', 'slow'):
            waiting = (*member.queue,)
            member.queue.clear()
            for item in waiting:
                self._answer(member, item, 'lost')
            member.is_up = True
            member.born += 1
            member.running = 0
            member.dialled.clear()
            if event.is_cold:
                member.cold_until = self.now + COLD_S
        if event.change == 'promote':
            self._primary = event.member
            member.cold_until = self.now + COLD_S
        if event.change == 'power':
            for other in self.members:
                other.born += 1
                other.running = 0
                other.queue.clear()
                other.dialled.clear()
                other.cold_until = self.now + COLD_S
            self._restart_hosts(self._count)
        if event.change == 'holders':
            self._restart_hosts(self._count // 2)
        if event.change != 'crash':
            for group in self._groups:
                self._update(group)
        if event.change == 'promote':
            writes, self._unsent = self._unsent, []
            for host, asked_at in writes:
                self._send(host, f'm{self._primary}', asked_at)

    def _arrive(self, _: None) -> None:
        self._at(
            self.now + self._rng.expovariate(self._rate_per_s),
            self._arrive,
            None,
        )
        host = self._rng.randrange(self._count)
        group = self._groups[host]
        if self._rng.random() < WRITE_PART:
            number = int(self.now / BIN_S)
            self._writes[number] = self._writes.get(number, 0) + 1
            if self.members[self._primary].is_up:
                self._send(host, f'm{self._primary}', self.now)
            else:
                self._unsent.append((host, self.now))
            return
        floor = Evidence(self.now - 1, BEGINNING)
        place = place_read(group, floor, 'a', frozenset(), self.now)
        if place is None:
            return
        self._send(host, place.member, self.now)

    def _send(self, host: int, name: str, asked_at: float) -> None:
        health = self._groups[host].members[name]
        if health.in_flight >= health.pace.cap(self._limit):
            key = host, name
            self._waiting.setdefault(key, deque()).append(asked_at)
            return
        health.in_flight += 1
        member = self.members[int(name[1:])]
        item = host, health, asked_at, self.now, member.born
        if not member.is_up:
            self._answer(member, item, 'lost')
        elif member.running >= SLOTS and len(member.queue) >= MAX_QUEUE:
            self._answer(member, item, 'busy')
        else:
            member.queue.append(item)
            self._serve(member)

    def _serve(self, member: FakeMember) -> None:
        while member.queue and member.running < SLOTS:
            item = member.queue.popleft()
            member.running += 1
            work_s = self._rng.expovariate(1 / WORK_S)
            work_s *= member.work_factor(self.now)
            if item[0] not in member.dialled:
                member.dialled.add(item[0])
                work_s += DIAL_S
            self._at(self.now + work_s, self._finish, (member, item))

    def _finish(self, done: tuple[FakeMember, Any]) -> None:
        member, item = done
        if item[4] != member.born or not member.is_up:
            self._answer(member, item, 'lost')
            return
        member.running -= 1
        self._answer(member, item, 'served')
        self._serve(member)

    def _answer(self, member: FakeMember, item: Any, outcome: str) -> None:
        host, health, asked_at, sent_at, _ = item
        health.in_flight -= 1
        is_watched = member.name == self.watched and self.now >= self._since
        if outcome == 'lost':
            health.on_unreachable(self.now)
        elif outcome == 'busy':
            health.on_answer(self.now, Position(1, 1))
            health.on_busy(self.now)
            health.pace.on_busy(self.now)
            self.figures.refused += is_watched
        else:
            health.on_answer(self.now, Position(1, 1))
            took_s = self.now - sent_at
            health.on_served(took_s, self.now)
            health.pace.on_served('read', took_s, self.now)
            self.figures.served += is_watched
            self.figures.late += is_watched and self.now - asked_at > GOAL_S
            key = int(self.now / BIN_S), member.name
            self._bins[key] = self._bins.get(key, 0) + 1
        self._drain(host, member.name)

    def _drain(self, host: int, name: str) -> None:
        waiting = self._waiting.get((host, name))
        health = self._groups[host].members[name]
        if waiting and health.in_flight < health.pace.cap(self._limit):
            self._send(host, name, waiting.popleft())

    def _find_fair_s(self, duration_s: float) -> float | None:
        """Return the start of the first second at the fair share."""
        first = math.ceil(self._since / BIN_S)
        for number in range(first, int(duration_s / BIN_S) - 1):
            own, others = 0, []
            for name in (m.name for m in self.members):
                count = sum(
                    self._bins.get((number + i, name), 0) for i in (0, 1)
                )
                if name == self.watched:
                    own = count
                elif name != f'm{self._primary}':
                    others.append(count)
            mean = sum(others) / len(others) if others else 0
            if self.watched == f'm{self._primary}':
                mean = sum(self._writes.get(number + i, 0) for i in (0, 1))
            if own and own >= FAIR_PART * mean:
                return number * BIN_S - self._since
        return None


SCENARIOS: dict[str, tuple[float, tuple[Event, ...], int]] = {
    'cold member': (30.0, (Event(10.0, 2, 'return'),), 2),
    'crash and return': (
        30.0,
        (Event(8.0, 2, 'crash'), Event(12.0, 2, 'return')),
        2,
    ),
    'rolling release': (
        50.0,
        tuple(
            Event(at + 10 * i, m, change)
            for i, m in enumerate((2, 1, 0))
            for at, change in ((10.0, 'crash'), (13.0, 'return'))
        ),
        2,
    ),
    'flapping member': (
        40.0,
        tuple(
            Event(10.0 + 4 * i + gap, 2, change)
            for i in range(4)
            for gap, change in ((0.0, 'crash'), (2.0, 'return'))
        ),
        2,
    ),
    'new primary': (
        30.0,
        (Event(10.0, 0, 'crash'), Event(10.6, 2, 'promote')),
        2,
    ),
    'power restored': (30.0, (Event(10.0, 2, 'power'),), 2),
    'change of holders': (
        30.0,
        (Event(10.0, 2, 'return'), Event(12.0, 2, 'holders')),
        2,
    ),
    'member stays slow': (40.0, (Event(10.0, 2, 'slow', False),), 2),
    'well after a restart': (30.0, (Event(10.0, 2, 'return', False),), 2),
}
"""Duration in seconds, events and watched member of each replay."""


def replay(
    name: str, way: str, seed: int, hosts: int = 8, rate_per_s: float = 300.0
) -> PaceFigures:
    """Replay a scenario by name."""
    duration_s, events, watched = SCENARIOS[name]
    run = PaceReplay(way, seed, hosts, rate_per_s)
    return run.run(duration_s, events, watched)


def main() -> None:
    """Print the table of the design note; `-` where never within the run."""
    for name in SCENARIOS:
        for hosts in (1, 8, 86):
            cells = []
            for way in ('none', 'ramp', 'pace'):
                runs = [replay(name, way, seed, hosts) for seed in range(5)]
                times = sorted(
                    math.inf if r.fair_s is None else r.fair_s for r in runs
                )
                late = sum(r.late for r in runs)
                refused = sum(r.refused for r in runs)
                times_s = f'{times[2]:.1f} / {times[-1]:.1f}'
                cells.append(f'{times_s}; {late}; {refused}')
            row = ' | '.join((name, str(hosts), *cells))
            print(f'| {row} |'.replace('inf', '-'), flush=True)


if __name__ == '__main__':
    main()
