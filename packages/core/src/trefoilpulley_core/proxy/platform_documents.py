"""Interface to the platform's documents: routes and members."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from returns.result import Result

    from trefoilpulley_core.failure import Failure
    from trefoilpulley_core.proxy.group_state import MemberRecord
    from trefoilpulley_core.proxy.routes import RouteTable


class PlatformDocuments(abc.ABC):
    """Where the platform keeps its documents, and how to read them."""

    @property
    @abc.abstractmethod
    def routes_key(self) -> str:
        """Key of the operators' configuration."""

    @property
    @abc.abstractmethod
    def members_prefix(self) -> str:
        """Prefix of the members' entries."""

    @abc.abstractmethod
    def decode_routes(self, value: bytes) -> Result[RouteTable, Failure]:
        """Decode the configuration, or fail with ``MalformedMessage``."""

    @abc.abstractmethod
    def decode_member(
        self, key: str, value: bytes
    ) -> Result[MemberRecord, Failure]:
        """Decode a member's entry, or fail with ``MalformedMessage``."""
