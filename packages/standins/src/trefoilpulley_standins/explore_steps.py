"""Every step that may follow a state of the exploration."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from returns.result import Failure as Failed

from trefoilpulley_core.failure import PeerUnreachable
from trefoilpulley_standins.explore_state import Confirmation
from trefoilpulley_standins.explore_state import EXPIRY_S
from trefoilpulley_standins.explore_state import TICK_S
from trefoilpulley_standins.explore_state import Write

if TYPE_CHECKING:
    from collections.abc import Iterator

    from trefoilpulley_standins.explore_member import ModelMember
    from trefoilpulley_standins.explore_state import ExploredState
    from trefoilpulley_standins.explore_state import Flight


def next_states(state: ExploredState) -> Iterator[ExploredState]:
    """Return the states one step away."""
    yield from _control_steps(state)
    yield from _data_steps(state)
    yield from _coordinator_steps(state)
    if state.budget.outages:
        yield _cut_off(state)


def _control_steps(state: ExploredState) -> Iterator[ExploredState]:
    for flight in state.flights:
        if flight.call.member in state.cut_off and flight.reply is None:
            yield _fail(state, flight)
            continue
        if flight.reply is not None:
            yield _return(state, flight)
            continue
        yield _carry(state, flight)
        if state.budget.delays and not flight.is_late:
            yield _delay(state, flight)
        if state.budget.losses and not flight.is_late:
            yield _lose(state, flight)


def _fail(state: ExploredState, flight: Flight) -> ExploredState:
    other = state.clone()
    if flight.is_late:
        other.flights -= {flight}
    else:
        other.finish(flight, Failed(PeerUnreachable()))
    return other


def _carry(state: ExploredState, flight: Flight) -> ExploredState:
    other = state.clone()
    result = other.serve(flight.call)
    if flight.is_late:
        other.flights -= {flight}
    else:
        other.finish(flight, result)
    return other


def _delay(state: ExploredState, flight: Flight) -> ExploredState:
    other = state.clone()
    other.spend(delays=state.budget.delays - 1)
    result = other.serve(flight.call)
    other.flights -= {flight}
    other.flights |= {replace(flight, reply=result)}
    return other


def _return(state: ExploredState, flight: Flight) -> ExploredState:
    other = state.clone()
    other.finish(flight, flight.reply)
    return other


def _lose(state: ExploredState, flight: Flight) -> ExploredState:
    other = state.clone()
    other.spend(losses=state.budget.losses - 1)
    other.give_up(flight)
    return other


def _data_steps(state: ExploredState) -> Iterator[ExploredState]:
    for primary in state.members.values():
        if not primary.is_primary:
            continue
        if state.budget.writes and _takes_writes(state, primary):
            yield _write(state, primary.name)
        yield from _replications(state, primary)
    for message in state.confirmations:
        yield _confirm(state, message)


def _takes_writes(state: ExploredState, primary: ModelMember) -> bool:
    is_held = state.hold and primary is next(iter(state.members.values()))
    return not is_held


def _write(state: ExploredState, name: str) -> ExploredState:
    other = state.clone()
    other.spend(writes=state.budget.writes - 1)
    member = other.members[name]
    value = f'w{len(state.writes)}@{name}'
    position = member.write(member.term, value)
    other.writes = (*state.writes, Write(name, position, value))
    other.on_write(member)
    return other


def _replications(
    state: ExploredState, primary: ModelMember
) -> Iterator[ExploredState]:
    for member in state.members.values():
        if member is primary or state.cut_off & {primary.name, member.name}:
            continue
        if member.primary != primary.name or member.term != primary.term:
            continue
        if member.last != primary.last:
            yield _replicate(state, primary.name, member.name)
            if state.budget.delays:
                yield _replicate_late(state, primary.name, member.name)


def _replicate(
    state: ExploredState, primary: str, replica: str
) -> ExploredState:
    other = state.clone()
    other.confirm(_append(other, primary, replica))
    return other


def _replicate_late(
    state: ExploredState, primary: str, replica: str
) -> ExploredState:
    other = state.clone()
    other.spend(delays=state.budget.delays - 1)
    other.confirmations |= {_append(other, primary, replica)}
    return other


def _append(state: ExploredState, primary: str, replica: str) -> Confirmation:
    leader, member = state.members[primary], state.members[replica]
    position = member.append(leader.term, primary, leader.log, 0.0)
    return Confirmation(primary, replica, leader.term, position)


def _confirm(state: ExploredState, message: Confirmation) -> ExploredState:
    other = state.clone()
    other.confirm(message)
    return other


def _coordinator_steps(state: ExploredState) -> Iterator[ExploredState]:
    for index in (0, 1):
        if state.promotions[index] is None and state.budget.starts[index]:
            yield _start(state, index)
        if state.promotions[index] is None:
            continue
        if state.budget.ticks:
            yield _tick(state, index)
        if state.budget.expiries:
            yield _expire(state, index)
    is_free = state.handover is None and state.promotions[0] is None
    if is_free and state.budget.handovers:
        yield _hand_over(state)


def _start(state: ExploredState, index: int) -> ExploredState:
    other = state.clone()
    starts = list(state.budget.starts)
    starts[index] -= 1
    other.spend(starts=tuple(starts))
    other.handover = None if index == 0 else other.handover
    other.begin_promotion(index, '')
    return other


def _tick(state: ExploredState, index: int) -> ExploredState:
    other = state.clone()
    other.spend(ticks=state.budget.ticks - 1)
    other.tick(index, TICK_S)
    return other


def _expire(state: ExploredState, index: int) -> ExploredState:
    other = state.clone()
    other.spend(expiries=state.budget.expiries - 1)
    other.tick(index, EXPIRY_S)
    return other


def _hand_over(state: ExploredState) -> ExploredState:
    other = state.clone()
    other.spend(handovers=state.budget.handovers - 1)
    other.begin_handover('b')
    return other


def _cut_off(state: ExploredState) -> ExploredState:
    other = state.clone()
    other.spend(outages=state.budget.outages - 1)
    other.cut_off = frozenset(('a',))
    return other
