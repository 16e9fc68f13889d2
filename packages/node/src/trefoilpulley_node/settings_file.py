"""Reads and formats settings files in JSON."""

from __future__ import annotations

from dataclasses import dataclass
import json
from typing import Any
from typing import TYPE_CHECKING
from typing import TypeVar

from cattrs import ClassValidationError
from cattrs.preconf.json import make_converter
from cattrs import transform_error
from returns.result import Failure as Failed
from returns.result import Result
from returns.result import Success

from trefoilpulley_core.failure import Failure
from trefoilpulley_core.failure import RunState

if TYPE_CHECKING:
    from pathlib import Path

_T = TypeVar('_T')
_CONVERTER = make_converter(forbid_extra_keys=True)


@dataclass(frozen=True, slots=True)
class InvalidSettings(Failure):
    """The settings file can't be read or is invalid."""

    code = 'invalid-settings'
    run_state = RunState.NOT_RUN

    faults: tuple[str, ...] = ()
    """Description of each fault with its path in the document."""


def read_settings(path: Path, kind: type[_T]) -> Result[_T, Failure]:
    """Read and validate a settings file.

    Parameters
    ----------
    path : Path
        Path of the JSON file.
    kind : type
        Data class that the settings must match.

    Returns
    -------
    Result[kind, Failure]
        The settings, or `InvalidSettings` with every fault.
    """
    try:
        document = json.loads(path.read_text(encoding='utf-8'))
    except (OSError, ValueError) as exc:
        return Failed(InvalidSettings(str(exc)))
    if not isinstance(document, dict):
        return Failed(InvalidSettings('not a JSON object'))
    try:
        return Success(_CONVERTER.structure(document, kind))
    except ClassValidationError as exc:
        faults = tuple(transform_error(exc, path='$'))
        return Failed(InvalidSettings('settings have faults', faults))


def format_settings(cfg: Any) -> str:
    """Return settings as JSON text."""
    return json.dumps(_CONVERTER.unstructure(cfg), indent=2)
