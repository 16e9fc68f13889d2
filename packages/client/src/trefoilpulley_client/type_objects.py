"""Constructors and type objects of PEP 249."""

from __future__ import annotations

import datetime


class TypeObject:
    """Type object for comparison with the type code of a column.

    The database reports no column types, so that no type object is equal to
    the type code of any column.
    """


STRING = TypeObject()
BINARY = TypeObject()
NUMBER = TypeObject()
DATETIME = TypeObject()
ROWID = TypeObject()

Binary = bytes


def Date(year: int, month: int, day: int) -> str:
    """Return a date in ISO 8601 format."""
    return datetime.date(year, month, day).isoformat()


def Time(hour: int, minute: int, second: int) -> str:
    """Return a time of day in ISO 8601 format."""
    return datetime.time(hour, minute, second).isoformat()


def Timestamp(
    year: int, month: int, day: int, hour: int, minute: int, second: int
) -> str:
    """Return a date and time in ISO 8601 format."""
    return datetime.datetime(year, month, day, hour, minute, second).isoformat(
        ' '
    )


def DateFromTicks(ticks: float) -> str:
    """Return the local date of a Unix timestamp in ISO 8601 format."""
    return datetime.date.fromtimestamp(ticks).isoformat()


def TimeFromTicks(ticks: float) -> str:
    """Return the local time of day of a Unix timestamp in ISO 8601 format."""
    local_time = datetime.datetime.fromtimestamp(int(ticks))
    return local_time.time().isoformat()


def TimestampFromTicks(ticks: float) -> str:
    """Return the local date and time of a Unix timestamp in ISO 8601."""
    return datetime.datetime.fromtimestamp(int(ticks)).isoformat(' ')
