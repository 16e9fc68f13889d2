"""Coordinates the databases of one shard and stores their records."""

from __future__ import annotations

from typing import TYPE_CHECKING

from trefoilpulley_core.coordination.commands import EditRecord
from trefoilpulley_core.coordination.commands import LoadShard
from trefoilpulley_core.coordination.commands import StoreShard
from trefoilpulley_core.coordination.database import DatabaseCoordinator
from trefoilpulley_core.coordination.edits import ClaimTerms
from trefoilpulley_core.coordination.shard import decode_shard
from trefoilpulley_core.coordination.shard import encode_shard
from trefoilpulley_core.coordination.shard import ShardRecord
from trefoilpulley_core.coordination.terms import has_grants

if TYPE_CHECKING:
    from collections.abc import Sequence

    from trefoilpulley_core.coordination.commands import CallDone
    from trefoilpulley_core.coordination.commands import Commands
    from trefoilpulley_core.coordination.database import TickContext
    from trefoilpulley_core.coordination.edits import RecordEdit

SERVICE_RETRY_INTERVAL_S = 0.5
"""Delay before the next call after the service did not answer, in seconds."""

STANDBY_TICK_S = 0.2
"""Interval between ticks of a standby process, in seconds."""

STANDBY_REFRESH_INTERVAL_S = 10.0
"""Interval between reads of the records by a standby process, in seconds."""


class ShardCoordinator:
    """Runs the coordinators of a shard's databases and stores the records.

    Parameters
    ----------
    shard : int
        Number of the shard.
    holder : str
        Name of this process in term grants.
    """

    def __init__(self, shard: int, holder: str) -> None:
        self.shard = shard
        """Number of the shard."""

        self._holder = holder
        self._revision = 0
        self._retry_at = 0.0
        self._loaded_at: float | None = None
        self._is_loading = False
        self._storing: ShardRecord | None = None
        self.record = ShardRecord()
        """Records as last read from or written to the service."""

        self.pending: list[RecordEdit] = []
        """Edits that have not been stored yet."""

        self.databases: dict[str, DatabaseCoordinator] = {}
        """Coordinators by the name of the database."""

        self.is_acting = False
        """Whether this process has the shard's duty."""

    @property
    def is_loaded(self) -> bool:
        """Whether the records have been read."""
        return self._loaded_at is not None

    @property
    def is_busy(self) -> bool:
        """Whether a promotion or handover is in progress."""
        return any(d.is_busy for d in self.databases.values())

    @property
    def tick_interval_s(self) -> float:
        """Time until the next tick is due, in seconds."""
        if not self.is_acting:
            return STANDBY_TICK_S
        intervals = (d.tick_interval_s for d in self.databases.values())
        return min(intervals, default=STANDBY_TICK_S)

    def on_tick(
        self, contexts: Sequence[TickContext], is_acting: bool, now: float
    ) -> Commands:
        """Coordinate every database, or prepare for a takeover.

        Parameters
        ----------
        contexts : Sequence[TickContext]
            Inputs for each database of the shard.
        is_acting : bool
            Whether this process has the shard's duty.
        now : float
            Monotonic time in seconds.
        """
        self._update_databases(contexts)
        self._update_duty(is_acting)
        if not self.is_loaded:
            return self._load_when_due(now)
        out: Commands = ()
        if is_acting:
            for context in contexts:
                coordinator = self.databases[context.entry.name]
                out += coordinator.on_tick(context, now)
        else:
            out += self._tick_standby(now)
        return self._queue_edits(out, now)

    def on_call_done(
        self, done: CallDone, is_acting: bool, now: float
    ) -> Commands:
        """Process the result of a call to a member."""
        self._update_duty(is_acting)
        coordinator = self.databases.get(done.call.database)
        if coordinator is None or not is_acting:
            return ()
        return self._queue_edits(coordinator.on_call_done(done, now), now)

    def on_loaded(self, value: bytes, revision: int, now: float) -> Commands:
        """Process the result of `LoadShard`."""
        self._is_loading = False
        self._loaded_at = now
        return self._update_record(decode_shard(value), revision, now)

    def on_stored(self, revision: int, now: float) -> Commands:
        """Process the success of `StoreShard`."""
        stored, self._storing = self._storing, None
        self._loaded_at = now
        return self._update_record(stored, revision, now)

    def on_store_outcome_unknown(self, now: float) -> Commands:
        """Read the records again after a conflict or a lost answer."""
        self._storing = None
        return self._load()

    def on_service_down(self, now: float) -> Commands:
        """Postpone loading and storing while the service is down."""
        self._storing = None
        self._is_loading = False
        self._retry_at = now + SERVICE_RETRY_INTERVAL_S
        return ()

    def _update_databases(self, contexts: Sequence[TickContext]) -> None:
        names = {a.entry.name for a in contexts}
        for name in set(self.databases) - names:
            del self.databases[name]
        for context in contexts:
            name = context.entry.name
            if name not in self.databases:
                self.databases[name] = DatabaseCoordinator(
                    context.entry, self._holder, self.record.find(name)
                )

    def _update_duty(self, is_acting: bool) -> None:
        if self.is_acting and not is_acting:
            self.pending.clear()
            for coordinator in self.databases.values():
                coordinator.deactivate()
        self.is_acting = is_acting

    def _tick_standby(self, now: float) -> Commands:
        if now - self._loaded_at >= STANDBY_REFRESH_INTERVAL_S:
            return self._load_when_due(now)
        records = (self.record.find(name) for name in self.databases)
        return tuple(
            EditRecord(ClaimTerms(r.database, self._holder, r.term))
            for r in records
            if not has_grants(r, self._holder, r.term)
        )

    def _load_when_due(self, now: float) -> Commands:
        if self._is_loading or self._storing or now < self._retry_at:
            return ()
        return self._load()

    def _load(self) -> Commands:
        self._is_loading = True
        return (LoadShard(self.shard),)

    def _queue_edits(self, out: Commands, now: float) -> Commands:
        for command in out:
            if isinstance(command, EditRecord):
                self._add_edit(command.edit)
        rest = tuple(c for c in out if not isinstance(c, EditRecord))
        return rest + self._store(now)

    def _add_edit(self, edit: RecordEdit) -> None:
        if edit not in self.pending:
            self.pending.append(edit)

    def _store(self, now: float) -> Commands:
        if not self.pending or self._storing or self._is_loading:
            return ()
        if now < self._retry_at or not self.is_loaded:
            return ()
        self._storing = self._edited_record()
        value = encode_shard(self._storing)
        return (StoreShard(self.shard, self._revision, value),)

    def _edited_record(self) -> ShardRecord:
        edited = self.record
        for edit in self.pending:
            changed = edit.apply(edited.find(edit.database))
            if changed != edited.find(edit.database):
                edited = edited.with_database(changed)
        return edited

    def _update_record(
        self, record: ShardRecord, revision: int, now: float
    ) -> Commands:
        self.record = record
        self._revision = revision
        self.pending = [e for e in self.pending if self._has_effect(e)]
        out: Commands = ()
        for name, coordinator in self.databases.items():
            out += coordinator.on_record(record.find(name), now)
        return self._queue_edits(out, now)

    def _has_effect(self, edit: RecordEdit) -> bool:
        record = self.record.find(edit.database)
        return edit.apply(record) != record
