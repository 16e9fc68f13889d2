"""Puts configurations in force and keeps the newest one for other hosts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Success

from trefoilpulley_core.direct.config_messages import ConfigurationAnswer
from trefoilpulley_node import events

if TYPE_CHECKING:
    from collections.abc import Callable

    from returns.result import Result

    from trefoilpulley_core.direct.config_messages import ConfigurationQuestion
    from trefoilpulley_core.direct.platform_documents import PlatformDocuments
    from trefoilpulley_core.direct.routes import RouteTable
    from trefoilpulley_core.failure import Failure
    from trefoilpulley_node.direct.directory import GroupDirectory

SERVICE = 'service'
"""Source of a configuration that the platform's service has sent."""


class ConfigHolder:
    """Applies configuration documents, of which the newest version wins.

    Versions never go back, wherever a document comes from.

    Parameters
    ----------
    documents : PlatformDocuments
        Format of the configuration.
    directory : GroupDirectory
        Holds the routes and customers in force.
    """

    def __init__(
        self, documents: PlatformDocuments, directory: GroupDirectory
    ) -> None:
        self._documents = documents
        self._directory = directory
        self._value = b''
        self._dropped: tuple[str, int] | None = None
        self._on_applied: list[Callable[[RouteTable], None]] = []
        self.source = ''
        """`SERVICE`, or the host that has sent the configuration in force."""

    @property
    def version(self) -> int:
        """Version in force; 0 before the first."""
        return self._directory.table.version

    @property
    def has_customers(self) -> bool:
        """Whether the deployment has customers."""
        return self._directory.table.customers is not None

    @property
    def customer_count(self) -> int:
        """Number of customers in force."""
        table = self._directory.table.customers
        return len(table.customers) if table else 0

    @property
    def fault_count(self) -> int:
        """Number of entries of customers that are left out."""
        table = self._directory.table.customers
        return len(table.faults) if table else 0

    def subscribe(self, on_applied: Callable[[RouteTable], None]) -> None:
        """Register a callback for each configuration that comes in force."""
        self._on_applied.append(on_applied)

    def apply(self, value: bytes, source: str) -> Result[bool, Failure]:
        """Put a configuration in force if it is newer.

        Parameters
        ----------
        value : bytes
            Configuration document.
        source : str
            `SERVICE`, or the name of the host that has sent the document.

        Returns
        -------
        Result[bool, Failure]
            Whether the configuration was put in force; a failure if the
            document cannot be decoded.
        """
        decoded = self._documents.decode_routes(value)
        if not isinstance(decoded, Success):
            return decoded
        table = decoded.unwrap()
        if not self._directory.set_routes(table):
            self._log_older(table.version, source)
            return Success(False)
        self._value = self._documents.replace_keys(value)
        self.source = source
        if source != SERVICE:
            events.CONFIGURATION_LEARNT.log(peer=source, version=table.version)
        self._log_faults(table)
        for on_applied in self._on_applied:
            on_applied(table)
        return Success(True)

    def on_question(
        self, question: ConfigurationQuestion
    ) -> ConfigurationAnswer:
        """Return the configuration in force if the asker's is older."""
        if self.version <= question.version or not self._value:
            return ConfigurationAnswer()
        return ConfigurationAnswer(self.version, self._value)

    def _log_older(self, version: int, source: str) -> None:
        """Log that an older configuration is not applied, once in a row."""
        if version == self.version or self._dropped == (source, version):
            return
        self._dropped = (source, version)
        events.CONFIGURATION_DROPPED.log(
            source=source,
            version=version,
            in_force=self.version,
            detail='older than the configuration in force',
        )

    def _log_faults(self, table: RouteTable) -> None:
        if table.customers is None:
            return
        for fault in table.customers.faults:
            events.CUSTOMER_LEFT_OUT.log(
                version=table.version,
                position=fault.position,
                customer=fault.name,
                reason=fault.code.value,
            )
