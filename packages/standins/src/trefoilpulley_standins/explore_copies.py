"""Copies and comparison keys of the parts of explored states."""

from __future__ import annotations

import copy
from typing import Any
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from trefoilpulley_standins.explore_member import ModelMember


def clone_member(member: ModelMember) -> ModelMember:
    """Return an independent copy of a member."""
    copied = copy.copy(member)
    copied.confirmed = dict(member.confirmed)
    return copied


def clone_operation(operation: Any) -> Any:
    """Return an independent copy of a promotion or handover."""
    if operation is None:
        return None
    copied = copy.copy(operation)
    for name, value in vars(operation).items():
        if isinstance(value, dict | set):
            setattr(copied, name, value.copy())
    return copied


def member_key(member: ModelMember) -> tuple[Any, ...]:
    """Return a hashable key that identifies a member's state."""
    return (
        member.term,
        member.fenced_term,
        member.is_primary,
        member.primary,
        member.log,
        frozenset(member.confirmed.items()),
    )


def operation_key(operation: Any) -> Any:
    """Return a hashable key of a promotion's or handover's state."""
    if operation is None:
        return None
    return tuple(
        (name, _freeze(value)) for name, value in vars(operation).items()
    )


def _freeze(value: Any) -> Any:
    if isinstance(value, dict):
        return frozenset(value.items())
    if isinstance(value, set):
        return frozenset(value)
    if isinstance(value, list):
        return tuple(value)
    return value
