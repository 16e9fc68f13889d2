"""Counts messages and bytes by type of message."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TrafficCount:
    """Traffic of one type of message, both ways."""

    message: str
    """Name of the type."""

    messages: int
    """Messages sent and received."""

    size_bytes: int
    """Bytes of their frames, without those of WebSocket and TCP."""


class Traffic:
    """Running counts of the frames of some channels."""

    def __init__(self) -> None:
        self._messages: Counter[str] = Counter()
        self._bytes: Counter[str] = Counter()

    def count(self, message: str, size_bytes: int) -> None:
        """Count one frame."""
        self._messages[message] += 1
        self._bytes[message] += size_bytes

    def snapshot(self) -> tuple[TrafficCount, ...]:
        """Return the counts by type of message."""
        return tuple(
            TrafficCount(name, self._messages[name], self._bytes[name])
            for name in sorted(self._messages)
        )
