"""Counters of messages and bytes per message type."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TrafficCount:
    """Traffic of one message type in both directions."""

    message: str
    """Name of the message type."""

    messages: int
    """Number of messages sent and received."""

    size_bytes: int
    """Total size of the frames, excluding WebSocket and TCP overhead."""


class Traffic:
    """Counters for the frames of all channels that share a codec."""

    def __init__(self) -> None:
        self._messages: Counter[str] = Counter()
        self._bytes: Counter[str] = Counter()

    def count(self, message: str, size_bytes: int) -> None:
        """Count one frame."""
        self._messages[message] += 1
        self._bytes[message] += size_bytes

    def snapshot(self) -> tuple[TrafficCount, ...]:
        """Return the counters of each message type, sorted by name."""
        return tuple(
            TrafficCount(name, self._messages[name], self._bytes[name])
            for name in sorted(self._messages)
        )
