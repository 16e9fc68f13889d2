"""Runs the dissemination of documents on this host."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any
from typing import TYPE_CHECKING

import gevent
from returns.result import Success

from trefoilpulley_core.configuration.commands import Fetch
from trefoilpulley_core.configuration.commands import Push
from trefoilpulley_core.configuration.commands import ReadService
from trefoilpulley_core.configuration.commands import SetWatch
from trefoilpulley_core.configuration.messages import Document
from trefoilpulley_core.configuration.messages import DocumentKind
from trefoilpulley_core.configuration.messages import FetchDocument
from trefoilpulley_core.failure import NotRun
from trefoilpulley_node.document_reader import DocumentReader
from trefoilpulley_node.document_reader import WATCHED_PREFIXES
from trefoilpulley_node import events
from trefoilpulley_node.peer_server import make_failure_reply
from trefoilpulley_node.service import Service

if TYPE_CHECKING:
    from collections.abc import Callable

    from returns.result import Result

    from trefoilpulley_core.catalog import Catalog
    from trefoilpulley_core.clock import Clock
    from trefoilpulley_core.configuration.commands import Command
    from trefoilpulley_core.configuration.store import ConfigurationStore
    from trefoilpulley_core.configuration.sync import DocumentDissemination
    from trefoilpulley_core.declarations import Configuration
    from trefoilpulley_core.failure import Failure
    from trefoilpulley_core.membership.live_hosts import LiveHosts
    from trefoilpulley_core.membership.messages import Versions
    from trefoilpulley_core.platform import KeyValue
    from trefoilpulley_core.platform import Platform
    from trefoilpulley_core.platform import Watch
    from trefoilpulley_node.peer_server import PeerIdentity
    from trefoilpulley_node.peer_server import PeerServer
    from trefoilpulley_node.peers import Peers

TICK_INTERVAL_S = 0.5
"""Interval between ticks, in seconds."""

FETCH_TIMEOUT_S = 1.0
"""Longest wait for a document from a peer, in seconds."""


@dataclass(frozen=True, slots=True)
class ConfigurationState:
    """Configuration section of the state dump."""

    configuration_revision: int
    """Revision of the declarations in force."""

    change_id: str
    """Identifier of the change that produced these declarations."""

    databases_revision: int
    """Revision of the list of databases."""

    hosts_revision: int
    """Revision of the list of hosts."""

    is_watcher: bool
    """Whether this host watches the service for its zone."""

    is_service_answering: bool
    """Whether the service answered the last read."""


class ConfigurationRunner(Service):
    """Disseminates documents over the service and the peer connections.

    Parameters
    ----------
    holder : ConfigurationStore
        Holds the newest documents.
    spread : DocumentDissemination
        Decides when to read, fetch and push documents.
    platform : Platform
        Client of the platform's key-value service.
    clock : Clock
        Monotonic time.
    """

    def __init__(
        self,
        store: ConfigurationStore,
        dissemination: DocumentDissemination,
        platform: Platform,
        clock: Clock,
    ) -> None:
        self._store = store
        self._dissemination = dissemination
        self._platform = platform
        self._reader = DocumentReader(platform)
        self._clock = clock
        self._peers: Peers | None = None
        self._greenlet: gevent.Greenlet | None = None
        self._watches: list[Watch] = []
        self._watch_epoch = 0
        self._is_service_answering = True
        self._change_listeners: list[Callable[[DocumentKind], None]] = []

    @property
    def configuration(self) -> Configuration:
        """Declarations in force."""
        return self._store.configuration

    @property
    def catalog(self) -> Catalog:
        """Databases, their members and the hosts."""
        return self._store.catalog

    @property
    def versions(self) -> Versions:
        """Revisions of the documents that this host holds."""
        return self._store.versions

    def subscribe(self, on_change: Callable[[DocumentKind], None]) -> None:
        """Register a callback for each document that comes into force."""
        self._change_listeners.append(on_change)

    def register_handlers(self, server: PeerServer, peers: Peers) -> None:
        """Register the handlers of document messages from other hosts."""
        self._peers = peers
        server.register(Document, self._on_push)
        server.register(FetchDocument, self._on_fetch)

    def start(self) -> None:
        """Read the documents once, then start the background work."""
        self._read_documents()
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop the background work and cancel the watches."""
        if self._greenlet is not None:
            self._greenlet.kill(block=False)
        self._end_watches()

    def on_live_hosts(self, live: LiveHosts) -> None:
        """Handle a change of the live hosts."""
        self._dissemination.on_live_hosts(live)

    def on_versions(self, host: str, versions: Versions) -> None:
        """Handle the document revisions that a peer holds."""
        self._dissemination.on_versions(host, versions, self._clock.now())
        self._execute_commands()

    def dump(self) -> ConfigurationState:
        """Return the configuration section of the state dump."""
        versions = self._store.versions
        return ConfigurationState(
            versions.configuration,
            self._store.configuration.change_id,
            versions.databases,
            versions.hosts,
            self._dissemination.is_watcher,
            self._is_service_answering,
        )

    def _run(self) -> None:
        while True:
            self._dissemination.on_tick(self._clock.now())
            self._execute_commands()
            gevent.sleep(TICK_INTERVAL_S)

    def _execute_commands(self) -> None:
        for command in self._dissemination.take_commands():
            gevent.spawn(self._execute_command, command)

    def _execute_command(self, command: Command) -> None:
        if isinstance(command, ReadService):
            self._read_documents()
        elif isinstance(command, SetWatch):
            self._set_watch(command.is_wanted)
        elif isinstance(command, Fetch):
            self._fetch(command)
        elif isinstance(command, Push):
            self._push(command)
        self._execute_commands()

    def _read_documents(self) -> None:
        for result in self._reader.read_changed():
            self._record_service_answer(result)
            document = result.value_or(None)
            if document is not None:
                self._report_document(
                    document, self._dissemination.on_read(document)
                )

    def _record_service_answer(self, result: Result[Any, Failure]) -> None:
        is_answering = isinstance(result, Success)
        if is_answering:
            self._dissemination.on_service_answered()
        else:
            self._dissemination.on_read_failed(self._clock.now())
        if is_answering != self._is_service_answering:
            self._is_service_answering = is_answering
            event = (
                events.PLATFORM_REACHABLE
                if is_answering
                else events.PLATFORM_UNREACHABLE
            )
            event.log()

    def _set_watch(self, is_wanted: bool) -> None:
        self._end_watches()
        if not is_wanted:
            return
        epoch = self._watch_epoch
        for prefix in WATCHED_PREFIXES:
            watch = self._begin_watch(prefix, epoch)
            if epoch != self._watch_epoch:
                watch.cancel()
                return
            self._watches.append(watch)

    def _begin_watch(self, prefix: str, epoch: int) -> Watch:
        def on_change(entry: KeyValue) -> None:
            self._dissemination.on_watch_event()
            self._execute_commands()

        def on_failure(failure: Failure) -> None:
            if epoch == self._watch_epoch:
                self._end_watches()
                self._dissemination.on_watch_ended(self._clock.now())

        return self._platform.watch(prefix, on_change, on_failure)

    def _end_watches(self) -> None:
        self._watch_epoch += 1
        watches, self._watches = self._watches, []
        for watch in watches:
            watch.cancel()

    def _fetch(self, command: Fetch) -> None:
        reply = self._peers.call_host(
            command.host, FetchDocument(command.kind), FETCH_TIMEOUT_S
        ).value_or(None)
        if isinstance(reply, Document):
            self._report_document(reply, self._dissemination.on_read(reply))

    def _push(self, command: Push) -> None:
        opened = self._peers.open_channel(command.host)
        if isinstance(opened, Success):
            opened.unwrap().notify(command.document)

    def _on_push(self, document: Document, peer: PeerIdentity) -> None:
        self._report_document(document, self._dissemination.on_push(document))
        self._execute_commands()

    def _on_fetch(self, req: FetchDocument, peer: PeerIdentity) -> Any:
        document = self._store.find_document(req.kind)
        if document is None:
            return make_failure_reply(NotRun('document is not available yet'))
        return document

    def _report_document(
        self, document: Document, accepted: Result[bool, Failure]
    ) -> None:
        if not isinstance(accepted, Success):
            events.DOCUMENT_REFUSED.log(
                kind=str(document.kind),
                revision=document.revision,
                detail=accepted.failure().detail,
            )
            return
        if not accepted.unwrap():
            return
        events.DOCUMENT_IN_FORCE.log(
            kind=str(document.kind), revision=document.revision
        )
        for on_change in self._change_listeners:
            on_change(document.kind)
