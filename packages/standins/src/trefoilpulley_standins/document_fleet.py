"""Simulates membership and documents of many hosts on a virtual clock."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from dataclasses import field
from typing import Any
from typing import TYPE_CHECKING

from trefoilpulley_core.configuration.commands import Fetch
from trefoilpulley_core.configuration.commands import Push
from trefoilpulley_core.configuration.commands import ReadService
from trefoilpulley_core.configuration.commands import SetWatch
from trefoilpulley_core.configuration.messages import Document
from trefoilpulley_core.configuration.messages import DocumentKind
from trefoilpulley_core.configuration.messages import FetchDocument
from trefoilpulley_core.configuration.store import ConfigurationStore
from trefoilpulley_core.configuration.sync import DocumentDissemination
from trefoilpulley_core.membership.commands import Call
from trefoilpulley_core.membership.commands import CompareVersions
from trefoilpulley_standins.membership_fleet import Fleet
from trefoilpulley_standins.membership_fleet import FleetHost
from trefoilpulley_standins.membership_fleet import INTER_ZONE_DELAY_S

if TYPE_CHECKING:
    from collections.abc import Callable

FETCH_TIMEOUT_S = 1.0
"""Longest wait for a document from a peer, in seconds."""

SERVICE_TIMEOUT_S = 1.0
"""Longest wait for an answer of the platform service, in seconds."""


@dataclass
class FleetService:
    """Model of the platform service, as used to disseminate documents."""

    documents: dict[DocumentKind, Document] = field(default_factory=dict)
    """Newest document of each kind."""

    is_down: bool = False
    """Whether the service is down for all hosts."""

    cut_zones: set[str] = field(default_factory=set)
    """Zones whose link to the service is cut."""

    watchers: set[str] = field(default_factory=set)
    """Names of the hosts with an active watch."""

    calls: Counter[str] = field(default_factory=Counter)
    """Number of calls by host; a watch counts once for each prefix."""

    def is_reachable_from(self, zone: str) -> bool:
        """Return whether the hosts of a zone can reach the service."""
        return not self.is_down and zone not in self.cut_zones


@dataclass
class DocumentState:
    """Documents of one host and the dissemination decisions."""

    holder: ConfigurationStore
    """Newest documents that the host holds."""

    spread: DocumentDissemination
    """Dissemination decisions of the host."""


class DocumentFleet(Fleet):
    """Fleet whose hosts also hold and disseminate documents.

    Parameters
    ----------
    seed : int
        Seed of the random number generator.
    is_measuring : bool
        Whether to encode messages to measure their bytes and time.
    make_holder : Callable[[], ConfigurationStore]
        Factory of a host's configuration store.
    """

    def __init__(
        self,
        seed: int = 0,
        is_measuring: bool = False,
        make_holder: Callable[[], ConfigurationStore] = ConfigurationStore,
    ) -> None:
        super().__init__(seed, is_measuring)
        self.service = FleetService()
        """Model of the platform service."""

        self.documents: dict[str, DocumentState] = {}
        """Documents and dissemination decisions, by host."""

        self._make_holder = make_holder

    def add(
        self, name: str, zone: str, *args: Any, **kwargs: Any
    ) -> FleetHost:
        """Start a host, or restart a host under the same name."""
        holder = self._make_holder()
        spread = DocumentDissemination(name, zone, holder)
        self.documents[name] = DocumentState(holder, spread)
        return super().add(name, zone, *args, **kwargs)

    def publish(self, document: Document) -> None:
        """Write a document to the service and notify the watching hosts."""
        self.service.documents[document.kind] = document
        for name in self.service.watchers:
            host = self.hosts[name]
            spread = self.documents[name].spread
            if self.service.is_reachable_from(host.entry.zone):
                self.call_at(
                    self.now + INTER_ZONE_DELAY_S,
                    lambda h=host, s=spread: self.run_when_awake(
                        h, s.on_watch_event
                    ),
                )

    def start_service_outage(self) -> None:
        """Start an outage of the service and end all watches."""
        self.service.is_down = True
        watchers, self.service.watchers = self.service.watchers, set()
        for name in watchers:
            spread = self.documents[name].spread
            self.run_when_awake(
                self.hosts[name], lambda s=spread: s.on_watch_ended(self.now)
            )

    def end_service_outage(self) -> None:
        """End the outage of the service."""
        self.service.is_down = False

    def revisions(self, kind: DocumentKind) -> dict[str, int]:
        """Return each running host's revision of a document, by host."""
        return {
            name: self.documents[name].holder.revision_of(kind)
            for name, host in self.hosts.items()
            if host.is_up
        }

    def tick(self, host: FleetHost) -> None:
        """Run a host's periodic tick."""
        super().tick(host)
        state = self.documents[host.entry.name]
        state.spread.on_live_hosts(host.membership.live_hosts)
        state.spread.on_tick(self.now)

    def run_action(self, host: FleetHost, action: Callable[[], Any]) -> Any:
        """Run an action of a host and execute the resulting commands."""
        return super().run_action(host, lambda: self._run_action(host, action))

    def execute_command(self, host: FleetHost, command: Any) -> None:
        """Execute a command of a host."""
        super().execute_command(host, command)
        if isinstance(command, CompareVersions):
            self._compare_versions(host, command)

    def serve(
        self,
        host: FleetHost,
        message: Any,
        reply: Callable[[FleetHost, Any], None],
    ) -> None:
        """Let a host answer a request."""
        super().serve(host, message, reply)
        if isinstance(message, FetchDocument):
            document = self.documents[host.entry.name].holder.find_document(
                message.kind
            )
            if document is not None:
                reply(host, document)

    def _run_action(self, host: FleetHost, action: Callable[[], Any]) -> Any:
        result = action()
        self._execute_document_commands(host)
        return result

    def _compare_versions(
        self, host: FleetHost, command: CompareVersions
    ) -> None:
        state = self.documents[host.entry.name]
        state.spread.on_versions(command.host, command.versions, self.now)
        self._execute_document_commands(host)

    def _execute_document_commands(self, host: FleetHost) -> None:
        state = self.documents[host.entry.name]
        host.membership.set_versions(state.holder.versions)
        for command in state.spread.take_commands():
            self._execute_document_command(host, state, command)

    def _execute_document_command(
        self, host: FleetHost, state: DocumentState, command: Any
    ) -> None:
        name = host.entry.name
        if isinstance(command, ReadService):
            self._read(host, state)
        elif isinstance(command, SetWatch):
            self._set_watch(host, state, command.is_wanted)
        elif isinstance(command, Push):
            self.send(
                host,
                command.host,
                command.document,
                lambda target, document: self.documents[
                    target.entry.name
                ].spread.on_push(document),
            )
        elif isinstance(command, Fetch):
            message = FetchDocument(command.kind)
            self.call(
                host,
                Call(0, command.host, message, FETCH_TIMEOUT_S),
                lambda document: self.documents[name].spread.on_read(document),
                lambda: None,
            )

    def _read(self, host: FleetHost, state: DocumentState) -> None:
        newer = [
            d
            for d in self.service.documents.values()
            if d.revision > state.holder.revision_of(d.kind)
        ]
        self.service.calls[host.entry.name] += 2 + len(newer)
        if not self.service.is_reachable_from(host.entry.zone):
            self.call_at(
                self.now + SERVICE_TIMEOUT_S,
                lambda: self.run_when_awake(
                    host, lambda: state.spread.on_read_failed(self.now)
                ),
            )
            return

        def deliver() -> None:
            state.spread.on_service_answered()
            for document in newer:
                state.spread.on_read(document)

        self.call_at(
            self.now + 2 * INTER_ZONE_DELAY_S,
            lambda: self.run_when_awake(host, deliver),
        )

    def _set_watch(
        self, host: FleetHost, state: DocumentState, is_wanted: bool
    ) -> None:
        name = host.entry.name
        self.service.watchers.discard(name)
        if not is_wanted:
            return
        self.service.calls[name] += 2
        if self.service.is_reachable_from(host.entry.zone):
            self.service.watchers.add(name)
            return
        self.call_at(
            self.now + SERVICE_TIMEOUT_S,
            lambda: self.run_when_awake(
                host, lambda: state.spread.on_watch_ended(self.now)
            ),
        )
