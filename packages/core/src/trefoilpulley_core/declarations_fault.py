"""Faults of a document of declarations."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class FaultCode(StrEnum):
    """Kinds of faults."""

    MALFORMED_JSON = 'malformed-json'
    """The text is not valid JSON."""

    TOO_LARGE = 'too-large'
    """The text exceeds the size limit of a value in the service."""

    UNKNOWN_KEY = 'unknown-key'
    """The object has a key that is not defined."""

    DERIVED_KEY = 'derived-key'
    """The object has a key whose value the system derives."""

    MISSING_KEY = 'missing-key'
    """The object lacks a required key."""

    WRONG_TYPE = 'wrong-type'
    """The value has the wrong type."""

    OUT_OF_RANGE = 'out-of-range'
    """The value is outside the permitted range."""

    INVALID_NAME = 'invalid-name'
    """The name violates the syntax of names."""

    DUPLICATE_NAME = 'duplicate-name'
    """The object or list contains the same name twice."""

    UNKNOWN_CLASS = 'unknown-class'
    """A permission refers to a class of work that is not declared."""

    UNKNOWN_LEDGER = 'unknown-ledger'
    """The platform lists no such ledger or database."""

    NOT_APPLICABLE = 'not-applicable'
    """The target does not apply to work of this kind."""


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault and its place in the document."""

    path: str
    """JSON path of the faulty value."""

    code: FaultCode
    """Kind of the fault."""

    detail: str
    """Human-readable description, not meant for programs."""
