"""Database client for the proxy that implements PEP 249 (DB-API 2.0)."""

from __future__ import annotations

from trefoilpulley_client.connection import connect
from trefoilpulley_client.connection import Connection
from trefoilpulley_client.cursor import Cursor
from trefoilpulley_client.errors import DatabaseError
from trefoilpulley_client.errors import DataError
from trefoilpulley_client.errors import Error
from trefoilpulley_client.errors import IntegrityError
from trefoilpulley_client.errors import InterfaceError
from trefoilpulley_client.errors import InternalError
from trefoilpulley_client.errors import NotRunError
from trefoilpulley_client.errors import NotSupportedError
from trefoilpulley_client.errors import OperationalError
from trefoilpulley_client.errors import OutcomeUnknownError
from trefoilpulley_client.errors import OverloadedError
from trefoilpulley_client.errors import ProgrammingError
from trefoilpulley_client.errors import TransactionLostError
from trefoilpulley_client.errors import Warning
from trefoilpulley_client.retry import RetryPolicy
from trefoilpulley_client.type_objects import BINARY
from trefoilpulley_client.type_objects import Binary
from trefoilpulley_client.type_objects import Date
from trefoilpulley_client.type_objects import DateFromTicks
from trefoilpulley_client.type_objects import DATETIME
from trefoilpulley_client.type_objects import NUMBER
from trefoilpulley_client.type_objects import ROWID
from trefoilpulley_client.type_objects import STRING
from trefoilpulley_client.type_objects import Time
from trefoilpulley_client.type_objects import TimeFromTicks
from trefoilpulley_client.type_objects import Timestamp
from trefoilpulley_client.type_objects import TimestampFromTicks

apilevel = '2.0'
"""Supported version of the DB-API, as PEP 249 requires."""

threadsafety = 1
"""Threads may share the module but not connections (PEP 249, level 1)."""

paramstyle = 'qmark'
"""Parameter style: each ``?`` in a statement marks one parameter."""

__all__ = [
    'BINARY',
    'Binary',
    'Connection',
    'Cursor',
    'DATETIME',
    'DataError',
    'DatabaseError',
    'Date',
    'DateFromTicks',
    'Error',
    'IntegrityError',
    'InterfaceError',
    'InternalError',
    'NUMBER',
    'NotRunError',
    'NotSupportedError',
    'OperationalError',
    'OutcomeUnknownError',
    'OverloadedError',
    'ProgrammingError',
    'ROWID',
    'RetryPolicy',
    'STRING',
    'Time',
    'TimeFromTicks',
    'Timestamp',
    'TimestampFromTicks',
    'TransactionLostError',
    'Warning',
    'apilevel',
    'connect',
    'paramstyle',
    'threadsafety',
]
