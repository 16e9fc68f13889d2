"""Steps that may follow a state of the exploration."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from returns.result import Failure as Failed

from trefoilpulley_core.failure import PeerUnreachable
from trefoilpulley_standins.explore_state import ATTEMPT_TIMEOUT_S
from trefoilpulley_standins.explore_state import Confirmation
from trefoilpulley_standins.explore_state import TICK_S
from trefoilpulley_standins.explore_state import Write

if TYPE_CHECKING:
    from collections.abc import Iterator

    from trefoilpulley_standins.explore_member import ModelMember
    from trefoilpulley_standins.explore_state import ExploredState
    from trefoilpulley_standins.explore_state import InFlightCall


def next_states(state: ExploredState) -> Iterator[ExploredState]:
    """Return all states that one step leads to."""
    yield from _control_steps(state)
    yield from _data_steps(state)
    yield from _coordinator_steps(state)
    if state.budget.outages:
        yield _cut_off_primary(state)


def _control_steps(state: ExploredState) -> Iterator[ExploredState]:
    for in_flight in state.in_flight_calls:
        if (
            in_flight.call.member in state.cut_off_members
            and in_flight.reply is None
        ):
            yield _fail_call(state, in_flight)
            continue
        if in_flight.reply is not None:
            yield _deliver_reply(state, in_flight)
            continue
        yield _deliver_call(state, in_flight)
        if state.budget.delays and not in_flight.is_late:
            yield _delay_reply(state, in_flight)
        if state.budget.call_timeouts and not in_flight.is_late:
            yield _time_out_call(state, in_flight)


def _fail_call(state: ExploredState, in_flight: InFlightCall) -> ExploredState:
    successor = state.clone()
    if in_flight.is_late:
        successor.in_flight_calls -= {in_flight}
    else:
        successor.complete_call(in_flight, Failed(PeerUnreachable()))
    return successor


def _deliver_call(
    state: ExploredState, in_flight: InFlightCall
) -> ExploredState:
    successor = state.clone()
    result = successor.apply_call(in_flight.call)
    if in_flight.is_late:
        successor.in_flight_calls -= {in_flight}
    else:
        successor.complete_call(in_flight, result)
    return successor


def _delay_reply(
    state: ExploredState, in_flight: InFlightCall
) -> ExploredState:
    successor = state.clone()
    successor.consume_budget(delays=state.budget.delays - 1)
    result = successor.apply_call(in_flight.call)
    successor.in_flight_calls -= {in_flight}
    successor.in_flight_calls |= {replace(in_flight, reply=result)}
    return successor


def _deliver_reply(
    state: ExploredState, in_flight: InFlightCall
) -> ExploredState:
    successor = state.clone()
    successor.complete_call(in_flight, in_flight.reply)
    return successor


def _time_out_call(
    state: ExploredState, in_flight: InFlightCall
) -> ExploredState:
    successor = state.clone()
    successor.consume_budget(call_timeouts=state.budget.call_timeouts - 1)
    successor.time_out_call(in_flight)
    return successor


def _data_steps(state: ExploredState) -> Iterator[ExploredState]:
    for primary in state.members.values():
        if not primary.is_primary:
            continue
        if state.budget.writes and _accepts_writes(state, primary):
            yield _write(state, primary.name)
        yield from _replications(state, primary)
    for message in state.confirmations:
        yield _confirm(state, message)


def _accepts_writes(state: ExploredState, primary: ModelMember) -> bool:
    is_paused = state.are_writes_paused and primary is next(
        iter(state.members.values())
    )
    return not is_paused


def _write(state: ExploredState, name: str) -> ExploredState:
    successor = state.clone()
    successor.consume_budget(writes=state.budget.writes - 1)
    member = successor.members[name]
    value = f'w{len(state.writes)}@{name}'
    position = member.write(member.term, value)
    successor.writes = (*state.writes, Write(name, position, value))
    successor.on_write(member)
    return successor


def _replications(
    state: ExploredState, primary: ModelMember
) -> Iterator[ExploredState]:
    for member in state.members.values():
        if member is primary or state.cut_off_members & {
            primary.name,
            member.name,
        }:
            continue
        if member.primary != primary.name or member.term != primary.term:
            continue
        if member.last_position != primary.last_position:
            yield _replicate(state, primary.name, member.name)
            if state.budget.delays:
                yield _delay_confirmation(state, primary.name, member.name)


def _replicate(
    state: ExploredState, primary: str, replica: str
) -> ExploredState:
    successor = state.clone()
    successor.confirm(_append(successor, primary, replica))
    return successor


def _delay_confirmation(
    state: ExploredState, primary: str, replica: str
) -> ExploredState:
    successor = state.clone()
    successor.consume_budget(delays=state.budget.delays - 1)
    successor.confirmations |= {_append(successor, primary, replica)}
    return successor


def _append(state: ExploredState, primary: str, replica: str) -> Confirmation:
    leader, member = state.members[primary], state.members[replica]
    position = member.append(leader.term, primary, leader.log, 0.0)
    return Confirmation(primary, replica, leader.term, position)


def _confirm(state: ExploredState, message: Confirmation) -> ExploredState:
    successor = state.clone()
    successor.confirm(message)
    return successor


def _coordinator_steps(state: ExploredState) -> Iterator[ExploredState]:
    for index in (0, 1):
        if state.promotions[index] is None and state.budget.starts[index]:
            yield _start_promotion(state, index)
        if state.promotions[index] is None:
            continue
        if state.budget.ticks:
            yield _tick(state, index)
        if state.budget.attempt_timeouts:
            yield _time_out_attempt(state, index)
    is_free = state.handover is None and state.promotions[0] is None
    if is_free and state.budget.handovers:
        yield _start_handover(state)


def _start_promotion(state: ExploredState, index: int) -> ExploredState:
    successor = state.clone()
    starts = list(state.budget.starts)
    starts[index] -= 1
    successor.consume_budget(starts=tuple(starts))
    successor.handover = None if index == 0 else successor.handover
    successor.begin_promotion(index, '')
    return successor


def _tick(state: ExploredState, index: int) -> ExploredState:
    successor = state.clone()
    successor.consume_budget(ticks=state.budget.ticks - 1)
    successor.tick(index, TICK_S)
    return successor


def _time_out_attempt(state: ExploredState, index: int) -> ExploredState:
    successor = state.clone()
    successor.consume_budget(
        attempt_timeouts=state.budget.attempt_timeouts - 1
    )
    successor.tick(index, ATTEMPT_TIMEOUT_S)
    return successor


def _start_handover(state: ExploredState) -> ExploredState:
    successor = state.clone()
    successor.consume_budget(handovers=state.budget.handovers - 1)
    successor.begin_handover('b')
    return successor


def _cut_off_primary(state: ExploredState) -> ExploredState:
    successor = state.clone()
    successor.consume_budget(outages=state.budget.outages - 1)
    successor.cut_off_members = frozenset(('a',))
    return successor
