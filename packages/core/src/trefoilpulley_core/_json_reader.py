"""Reads JSON objects and collects all faults with their paths."""

from __future__ import annotations

from dataclasses import dataclass
import json
import re
from typing import Any
from typing import NoReturn

from trefoilpulley_core.declarations_fault import Fault
from trefoilpulley_core.declarations_fault import FaultCode

_NAME = re.compile(r'[a-z0-9][a-z0-9._-]{0,62}')
_LEDGER_NAME = re.compile(rf'{_NAME.pattern}(/{_NAME.pattern})?')
_PLAIN_KEY = re.compile(r'[A-Za-z0-9_-]+')

DERIVED_KEYS = frozenset(
    (
        'address',
        'addresses',
        'connections',
        'endpoint',
        'endpoints',
        'host',
        'hosts',
        'member',
        'members',
        'port',
        'ports',
        'primary',
        'priority',
        'replica',
        'replicas',
        'slots',
        'weight',
        'weights',
    )
)
"""Keys of values that the system determines by itself."""


@dataclass(frozen=True, slots=True)
class JsonObject:
    """JSON object as written, including repeated keys."""

    pairs: tuple[tuple[str, Any], ...]
    """Keys and values in the order of the JSON text."""


def parse_json(text: str) -> Any:
    """Parse JSON and keep repeated keys.

    Raises
    ------
    ValueError
        If the text is not valid JSON.
    """
    return json.loads(
        text,
        object_pairs_hook=lambda pairs: JsonObject(tuple(pairs)),
        parse_constant=_reject_constant,
    )


def join_path(path: str, key: str | int) -> str:
    """Return the JSON path of a child item."""
    if isinstance(key, int):
        return f'{path}[{key}]'
    if _PLAIN_KEY.fullmatch(key):
        return f'{path}.{key}'
    return f'{path}[{json.dumps(key)}]'


class FaultList:
    """Collects the faults of a document."""

    def __init__(self) -> None:
        self._faults: list[Fault] = []

    def add(self, path: str, code: FaultCode, detail: str) -> None:
        """Add a fault to the list."""
        self._faults.append(Fault(path, code, detail))

    def as_tuple(self) -> tuple[Fault, ...]:
        """Return the faults in the order in which they were added."""
        return tuple(self._faults)

    def read_object(self, value: Any, path: str) -> ObjectReader | None:
        """Return a reader of an object, or add a fault and return ``None``."""
        if not isinstance(value, JsonObject):
            self.add(path, FaultCode.WRONG_TYPE, 'an object is expected')
            return None
        return ObjectReader(value, path, self)

    def check_ledger_name(self, name: str, path: str) -> None:
        """Check the syntax of a name of a ledger or database."""
        if not _LEDGER_NAME.fullmatch(name):
            self.add(
                path,
                FaultCode.INVALID_NAME,
                'the name of a ledger, or LEDGER/DATABASE, is expected',
            )

    def check_name(self, name: str, path: str) -> None:
        """Check the syntax of a name."""
        if not _NAME.fullmatch(name):
            self.add(
                path,
                FaultCode.INVALID_NAME,
                'names have 1 to 63 of a-z, 0-9, ".", "_" and "-", '
                'and begin with a letter or digit',
            )


class ObjectReader:
    """Reads and checks the values of one object.

    Parameters
    ----------
    source : JsonObject
        Object to read.
    path : str
        JSON path of the object.
    faults : FaultList
        List to which faults are added.
    """

    def __init__(
        self, source: JsonObject, path: str, faults: FaultList
    ) -> None:
        self._values: dict[str, Any] = {}
        self._faults = faults
        self.path = path
        """JSON path of the object."""

        for key, value in source.pairs:
            if key in self._values:
                self._add(key, FaultCode.DUPLICATE_NAME, 'the key is repeated')
            self._values.setdefault(key, value)

    def path_of(self, key: str) -> str:
        """Return the JSON path of a key's value."""
        return join_path(self.path, key)

    def items(self) -> tuple[tuple[str, Any], ...]:
        """Return the keys and values of the object."""
        return tuple(self._values.items())

    def has(self, key: str) -> bool:
        """Return whether the object has a key."""
        return key in self._values

    def get(self, key: str) -> Any:
        """Return the value of a key, or ``None``."""
        return self._values.get(key)

    def expect_keys(
        self, required: tuple[str, ...], optional: tuple[str, ...] = ()
    ) -> None:
        """Add a fault for each missing and each unknown key."""
        for key in required:
            if key not in self._values:
                self._add(key, FaultCode.MISSING_KEY, 'is required')
        for key in self._values:
            if key not in required and key not in optional:
                self._report_unknown(key)

    def read_int(self, key: str, minimum: int, maximum: int) -> int | None:
        """Return an integer within bounds, or ``None``."""
        value = self._values.get(key)
        if value is None and key not in self._values:
            return None
        if not isinstance(value, int) or isinstance(value, bool):
            self._add(key, FaultCode.WRONG_TYPE, 'an integer is expected')
            return None
        if not minimum <= value <= maximum:
            self._add(
                key,
                FaultCode.OUT_OF_RANGE,
                f'must be between {minimum} and {maximum}',
            )
            return None
        return value

    def read_share(self, key: str) -> float | None:
        """Return a number above 0 and at most 1, or ``None``."""
        value = self._values.get(key)
        if value is None and key not in self._values:
            return None
        if not isinstance(value, int | float) or isinstance(value, bool):
            self._add(key, FaultCode.WRONG_TYPE, 'a number is expected')
            return None
        if not 0 < value <= 1:
            self._add(
                key, FaultCode.OUT_OF_RANGE, 'must be above 0 and at most 1'
            )
            return None
        return float(value)

    def read_bool(self, key: str, default: bool) -> bool:
        """Return a Boolean, or the default if the key is missing."""
        value = self._values.get(key, default)
        if isinstance(value, bool):
            return value
        self._add(key, FaultCode.WRONG_TYPE, 'true or false is expected')
        return default

    def read_choice(self, key: str, choices: tuple[str, ...]) -> str | None:
        """Return one of several permitted strings, or ``None``."""
        if key not in self._values:
            return None
        value = self._values[key]
        expected = ' or '.join(json.dumps(c) for c in choices)
        if not isinstance(value, str):
            self._add(key, FaultCode.WRONG_TYPE, f'{expected} is expected')
            return None
        if value not in choices:
            self._add(key, FaultCode.OUT_OF_RANGE, f'must be {expected}')
            return None
        return value

    def read_name(self, key: str) -> str | None:
        """Return a name, or ``None``."""
        if key not in self._values:
            return None
        value = self._values[key]
        if not isinstance(value, str):
            self._add(key, FaultCode.WRONG_TYPE, 'a name is expected')
            return None
        self._faults.check_name(value, self.path_of(key))
        return value

    def _report_unknown(self, key: str) -> None:
        if key.lower() in DERIVED_KEYS:
            self._add(
                key,
                FaultCode.DERIVED_KEY,
                'must not be set: the system derives this value',
            )
        else:
            self._add(key, FaultCode.UNKNOWN_KEY, 'the key is unknown')

    def _add(self, key: str, code: FaultCode, detail: str) -> None:
        self._faults.add(self.path_of(key), code, detail)


def _reject_constant(name: str) -> NoReturn:
    raise ValueError(f'{name} is not valid JSON')
