"""Constructors and type objects of PEP 249."""

from __future__ import annotations

import datetime


class TypeObject:
    """Type of columns; the database tells none, so that none is equal."""


STRING = TypeObject()
BINARY = TypeObject()
NUMBER = TypeObject()
DATETIME = TypeObject()
ROWID = TypeObject()

Binary = bytes


def Date(year: int, month: int, day: int) -> str:
    """Return a date in ISO form."""
    return datetime.date(year, month, day).isoformat()


def Time(hour: int, minute: int, second: int) -> str:
    """Return a time of day in ISO form."""
    return datetime.time(hour, minute, second).isoformat()


def Timestamp(
    year: int, month: int, day: int, hour: int, minute: int, second: int
) -> str:
    """Return a point in time in ISO form."""
    return datetime.datetime(year, month, day, hour, minute, second).isoformat(
        ' '
    )


def DateFromTicks(ticks: float) -> str:
    """Return the local date of a Unix time in ISO form."""
    return datetime.date.fromtimestamp(ticks).isoformat()


def TimeFromTicks(ticks: float) -> str:
    """Return the local time of day of a Unix time in ISO form."""
    moment = datetime.datetime.fromtimestamp(int(ticks))
    return moment.time().isoformat()


def TimestampFromTicks(ticks: float) -> str:
    """Return a Unix time as local time in ISO form."""
    return datetime.datetime.fromtimestamp(int(ticks)).isoformat(' ')
