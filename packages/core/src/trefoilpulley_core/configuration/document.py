"""JSON encoding of the documents in the platform's service."""

from __future__ import annotations

from dataclasses import dataclass
import json
from typing import Any
from typing import TYPE_CHECKING
from typing import TypeVar

from cattrs import BaseValidationError
from cattrs.preconf.json import make_converter
from cattrs import transform_error
from returns.result import Failure as Failed
from returns.result import Result
from returns.result import Success

from trefoilpulley_core.catalog import DatabaseEntry
from trefoilpulley_core.catalog import HostEntry
from trefoilpulley_core.declarations import Configuration
from trefoilpulley_core.entry_fields import DECODE_ERRORS
from trefoilpulley_core.failure import Failure
from trefoilpulley_core.failure import RunState

if TYPE_CHECKING:
    from collections.abc import Iterable

_T = TypeVar('_T')
_CONVERTER = make_converter()
_COMPACT_CONVERTER = make_converter(omit_if_default=True)


@dataclass(frozen=True, slots=True)
class MalformedDocument(Failure):
    """A document from the platform's service cannot be decoded."""

    code = 'malformed-document'
    run_state = RunState.NOT_RUN


def encode_configuration(configuration: Configuration) -> bytes:
    """Return the JSON encoding of a configuration."""
    document = _CONVERTER.unstructure(configuration, Configuration)
    return _dump(document)


def decode_configuration(data: bytes) -> Result[Configuration, Failure]:
    """Return the configuration in a JSON document."""
    return _decode(data, Configuration)


def encode_databases(databases: Iterable[DatabaseEntry]) -> bytes:
    """Return the JSON encoding of a list of database groups."""
    return _dump(
        [_COMPACT_CONVERTER.unstructure(d, DatabaseEntry) for d in databases]
    )


def decode_databases(
    data: bytes,
) -> Result[tuple[DatabaseEntry, ...], Failure]:
    """Return the database groups in a JSON document."""
    return _decode(data, tuple[DatabaseEntry, ...])


def encode_hosts(hosts: Iterable[HostEntry]) -> bytes:
    """Return the JSON encoding of a list of hosts."""
    return _dump([_COMPACT_CONVERTER.unstructure(h, HostEntry) for h in hosts])


def decode_hosts(data: bytes) -> Result[tuple[HostEntry, ...], Failure]:
    """Return the hosts in a JSON document."""
    return _decode(data, tuple[HostEntry, ...])


def _dump(document: Any) -> bytes:
    return json.dumps(document, separators=(',', ':')).encode()


def _decode(data: bytes, kind: type[_T]) -> Result[_T, Failure]:
    try:
        document = json.loads(data)
        if isinstance(document, dict) != (kind is Configuration):
            return Failed(
                MalformedDocument('JSON document has an unexpected type')
            )
        return Success(_CONVERTER.structure(document, kind))
    except BaseValidationError as exc:
        return Failed(MalformedDocument('; '.join(transform_error(exc))))
    except DECODE_ERRORS as exc:
        return Failed(MalformedDocument(type(exc).__name__))
