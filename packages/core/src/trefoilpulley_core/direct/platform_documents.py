"""Interface to the platform's documents on routes and members."""

from __future__ import annotations

import abc
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from returns.result import Result

    from trefoilpulley_core.direct.group_state import MemberRecord
    from trefoilpulley_core.direct.routes import RouteTable
    from trefoilpulley_core.failure import Failure


class PlatformDocuments(abc.ABC):
    """Keys and decoders of the platform's documents."""

    @property
    @abc.abstractmethod
    def routes_key(self) -> str:
        """Key of the configuration that the operators maintain."""

    @property
    @abc.abstractmethod
    def members_prefix(self) -> str:
        """Key prefix of the members' entries."""

    @abc.abstractmethod
    def decode_routes(self, value: bytes) -> Result[RouteTable, Failure]:
        """Return the decoded configuration, or ``MalformedMessage``."""

    @abc.abstractmethod
    def replace_keys(self, value: bytes) -> bytes:
        """Return a configuration with hashes in the place of keys.

        Hosts pass the configuration on in this form, which `decode_routes`
        reads as well. The value is one that `decode_routes` accepts.
        """

    @abc.abstractmethod
    def decode_member(
        self, key: str, value: bytes
    ) -> Result[MemberRecord, Failure]:
        """Return a decoded entry of a member, or ``MalformedMessage``."""
