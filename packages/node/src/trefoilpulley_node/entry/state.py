"""Collects the state dump of the process."""

from __future__ import annotations

import hmac
from typing import Any
from typing import TYPE_CHECKING

from cattrs.preconf.cbor2 import make_converter
from returns.result import Failure as Failed
from returns.result import Result
from returns.result import Success

from trefoilpulley_core.failure import Failure
from trefoilpulley_core.failure import NotAuthenticated

if TYPE_CHECKING:
    from collections.abc import Callable

_CONVERTER = make_converter()


class StateCollector:
    """Collects the sections of the state dump.

    Parameters
    ----------
    operator_secret : str
        Secret that an operator must send to read the state.
    """

    def __init__(self, operator_secret: str) -> None:
        self._operator_secret = operator_secret
        self._sections: dict[str, Callable[[], Any]] = {}

    def register(self, section: str, dump: Callable[[], Any]) -> None:
        """Register a section.

        Parameters
        ----------
        section : str
            Name of the section.
        dump : Callable[[], Any]
            Returns the section as a frozen data class.
        """
        self._sections[section] = dump

    def collect(self, operator_secret: str) -> Result[dict[str, Any], Failure]:
        """Return every section if the operator's secret is right."""
        if not hmac.compare_digest(
            operator_secret.encode(), self._operator_secret.encode()
        ):
            return Failed(NotAuthenticated('operator secret is wrong'))
        return Success(
            {
                section: _CONVERTER.unstructure(dump())
                for section, dump in self._sections.items()
            }
        )
