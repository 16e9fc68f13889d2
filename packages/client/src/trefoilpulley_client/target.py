"""Class of work and database that a statement addresses."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Target:
    """Class of work and database that a statement addresses."""

    work_class: str
    """Name of the class of work."""

    database: str
    """Name of the database."""
