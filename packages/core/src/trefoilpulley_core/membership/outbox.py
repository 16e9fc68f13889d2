"""Queue of outgoing commands and the calls that await an answer."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any
from typing import TYPE_CHECKING

from trefoilpulley_core.membership.commands import Call
from trefoilpulley_core.membership.commands import Tell

if TYPE_CHECKING:
    from collections.abc import Callable

    from trefoilpulley_core.membership.commands import Command


@dataclass(frozen=True, slots=True)
class PendingCall:
    """Callbacks of a call that has no answer yet."""

    on_answer: Callable[[Any, float], None]
    """Called with the answer and the time of its arrival."""

    on_failure: Callable[[float], None]
    """Called with the time at which the call failed."""


class Outbox:
    """Queues commands until the runner collects them."""

    def __init__(self) -> None:
        self._commands: list[Command] = []
        self._pending: dict[int, PendingCall] = {}
        self._next_call_id = 1

    @property
    def pending_calls(self) -> int:
        """Number of calls that have no answer yet."""
        return len(self._pending)

    def call(
        self, host: str, message: Any, timeout_s: float, pending: PendingCall
    ) -> None:
        """Send a request to a host."""
        call_id = self._next_call_id
        self._next_call_id += 1
        self._pending[call_id] = pending
        self._commands.append(Call(call_id, host, message, timeout_s))

    def tell(self, host: str, message: Any) -> None:
        """Send a one-way message to a host."""
        self._commands.append(Tell(host, message))

    def add(self, command: Command) -> None:
        """Queue a command."""
        self._commands.append(command)

    def take(self) -> tuple[Command, ...]:
        """Remove and return the queued commands, oldest first."""
        commands = tuple(self._commands)
        self._commands.clear()
        return commands

    def finish(self, call_id: int) -> PendingCall | None:
        """Remove and return a pending call, or ``None`` if it is unknown."""
        return self._pending.pop(call_id, None)

    def discard_calls(self) -> None:
        """Discard the pending calls without running their callbacks."""
        self._pending.clear()
