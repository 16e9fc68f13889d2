"""Faults of a document of declarations."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class FaultCode(StrEnum):
    """Kinds of faults."""

    MALFORMED_JSON = 'malformed-json'
    """The text is not JSON."""

    TOO_LARGE = 'too-large'
    """The text does not fit one value of the platform's service."""

    UNKNOWN_KEY = 'unknown-key'
    """The object has no such key."""

    DERIVED_KEY = 'derived-key'
    """The system derives what the key would set."""

    MISSING_KEY = 'missing-key'
    """The object lacks a key."""

    WRONG_TYPE = 'wrong-type'
    """The value has another type."""

    OUT_OF_RANGE = 'out-of-range'
    """The value is outside its bounds."""

    INVALID_NAME = 'invalid-name'
    """The name has characters that names do not have."""

    DUPLICATE_NAME = 'duplicate-name'
    """The object or list has the same name twice."""

    UNKNOWN_CLASS = 'unknown-class'
    """A right names a class of work that is not declared."""

    UNKNOWN_LEDGER = 'unknown-ledger'
    """The platform lists no database of the ledger."""

    NOT_APPLICABLE = 'not-applicable'
    """The target does not apply to work of this kind."""


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault and where it stands."""

    path: str
    """JSON path of the value at fault."""

    code: FaultCode
    """Kind of the fault."""

    detail: str
    """Facts for a person."""
