"""What a statement is sent to."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Target:
    """Class of work and database of a statement."""

    work_class: str
    """Class of work."""

    database: str
    """Database."""
