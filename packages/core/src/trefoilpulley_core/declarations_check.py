"""Checks a complete document of declarations before it is stored."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from returns.result import Failure as Failed
from returns.result import Result
from returns.result import Success

from trefoilpulley_core._json_reader import FaultList
from trefoilpulley_core._json_reader import join_path
from trefoilpulley_core._json_reader import ObjectReader
from trefoilpulley_core._json_reader import parse_json
from trefoilpulley_core.declarations import Declarations
from trefoilpulley_core.declarations import Freshness
from trefoilpulley_core.declarations import FreshnessKind
from trefoilpulley_core.declarations import Grant
from trefoilpulley_core.declarations import PlannedStop
from trefoilpulley_core.declarations import Promptness
from trefoilpulley_core.declarations import Safety
from trefoilpulley_core.declarations import Tenant
from trefoilpulley_core.declarations import WorkClass
from trefoilpulley_core.declarations import WorkKind
from trefoilpulley_core.declarations_fault import Fault
from trefoilpulley_core.declarations_fault import FaultCode

if TYPE_CHECKING:
    from collections.abc import Collection

MAX_DOCUMENT_BYTES = 1_000_000
"""Maximum size of a document; the service limits values to 1 MB."""

MAX_FRESHNESS_AGE_MS = 86_400_000
"""Largest maximum age of a freshness target, in milliseconds (one day)."""

MAX_WITHIN_MS = 600_000
"""Largest promptness target, in milliseconds (ten minutes)."""

MIN_COPIES = 2
"""Smallest number of copies: a majority of three members."""

MAX_COPIES = 3
"""Largest number of copies: all three members."""

_FRESHNESS_KINDS = {
    'session': FreshnessKind.SESSION,
    'present': FreshnessKind.PRESENT,
}
_PRESENT = Freshness(FreshnessKind.PRESENT)


def check_declarations(
    text: str, ledgers: Collection[str] | None = None
) -> Result[Declarations, tuple[Fault, ...]]:
    """Parse and check a document.

    Parameters
    ----------
    text : str
        JSON text written by an operator.
    ledgers : Collection[str], optional
        Names of the ledgers and databases in the platform's list. If
        omitted, names of ledgers are not checked against the list.

    Returns
    -------
    Result[Declarations, tuple[Fault, ...]]
        The declarations, or all faults of the document.
    """
    faults = FaultList()
    if len(text.encode(errors='surrogatepass')) > MAX_DOCUMENT_BYTES:
        faults.add(
            '$',
            FaultCode.TOO_LARGE,
            f'the limit is {MAX_DOCUMENT_BYTES} bytes',
        )
        return Failed(faults.as_tuple())
    try:
        value = parse_json(text)
    except (ValueError, RecursionError) as exc:
        faults.add('$', FaultCode.MALFORMED_JSON, str(exc))
        return Failed(faults.as_tuple())
    declarations = _DocumentChecker(faults, ledgers).read(value)
    if faults.as_tuple():
        return Failed(faults.as_tuple())
    return Success(declarations)


class _DocumentChecker:
    """Checks one document."""

    def __init__(
        self, faults: FaultList, ledgers: Collection[str] | None
    ) -> None:
        self._faults = faults
        self._ledgers = ledgers
        self._class_names: frozenset[str] = frozenset()

    def read(self, value: Any) -> Declarations:
        """Read the document and omit items with faults."""
        root = self._faults.read_object(value, '$')
        if root is None:
            return Declarations()
        root.expect_keys(('classes', 'tenants'), ('stops',))
        classes = self._read_items(root, 'classes')
        self._class_names = frozenset(name for name, _ in classes)
        return Declarations(
            classes=tuple(
                filter(None, (self._read_class(*item) for item in classes))
            ),
            tenants=tuple(
                filter(
                    None,
                    (
                        self._read_tenant(*i)
                        for i in self._read_items(root, 'tenants')
                    ),
                )
            ),
            stops=tuple(
                filter(
                    None,
                    (
                        self._read_stop(*i)
                        for i in self._read_items(root, 'stops')
                    ),
                )
            ),
        )

    def _read_items(
        self, root: ObjectReader, key: str
    ) -> tuple[tuple[str, ObjectReader], ...]:
        if not root.has(key):
            return ()
        section = self._faults.read_object(root.get(key), root.path_of(key))
        if section is None:
            return ()
        items = []
        for name, value in section.items():
            path = section.path_of(name)
            self._faults.check_name(name, path)
            reader = self._faults.read_object(value, path)
            if reader is not None:
                items.append((name, reader))
        return tuple(items)

    def _read_class(self, name: str, reader: ObjectReader) -> WorkClass | None:
        reader.expect_keys(('work', 'promptness'), ('freshness', 'safety'))
        work = reader.read_choice('work', tuple(WorkKind))
        promptness = self._read_promptness(reader)
        if work is None:
            self._read_freshness(reader)
            self._read_safety(reader, False)
            return None
        if work == WorkKind.READ:
            freshness = self._read_freshness(reader)
            self._require_freshness(reader)
        else:
            freshness = self._read_write_freshness(reader)
        safety = self._read_safety(reader, work == WorkKind.READ)
        if freshness is None or promptness is None or safety is None:
            return None
        return WorkClass(name, WorkKind(work), freshness, promptness, safety)

    def _require_freshness(self, reader: ObjectReader) -> None:
        if not reader.has('freshness'):
            self._faults.add(
                reader.path_of('freshness'),
                FaultCode.MISSING_KEY,
                'is required for a class of reads',
            )

    def _read_write_freshness(self, reader: ObjectReader) -> Freshness | None:
        if not reader.has('freshness'):
            return _PRESENT
        freshness = self._read_freshness(reader)
        if freshness is not None and freshness != _PRESENT:
            self._faults.add(
                reader.path_of('freshness'),
                FaultCode.NOT_APPLICABLE,
                'must be "present" for a class of writes',
            )
        return freshness

    def _read_freshness(self, reader: ObjectReader) -> Freshness | None:
        value = reader.get('freshness')
        if not reader.has('freshness'):
            return None
        if isinstance(value, str):
            kind = reader.read_choice('freshness', tuple(_FRESHNESS_KINDS))
            return Freshness(_FRESHNESS_KINDS[kind]) if kind else None
        target = self._faults.read_object(value, reader.path_of('freshness'))
        if target is None:
            return None
        target.expect_keys(('age_ms',))
        age_ms = target.read_int('age_ms', 1, MAX_FRESHNESS_AGE_MS)
        return Freshness(FreshnessKind.AGE, age_ms) if age_ms else None

    def _read_promptness(self, reader: ObjectReader) -> Promptness | None:
        if not reader.has('promptness'):
            return None
        target = self._faults.read_object(
            reader.get('promptness'), reader.path_of('promptness')
        )
        if target is None:
            return None
        target.expect_keys(('within_ms', 'share'))
        within_ms = target.read_int('within_ms', 1, MAX_WITHIN_MS)
        share = target.read_share('share')
        if within_ms is None or share is None:
            return None
        return Promptness(within_ms, share)

    def _read_safety(
        self, reader: ObjectReader, is_read: bool
    ) -> Safety | None:
        if not reader.has('safety'):
            return Safety(is_repeatable=is_read)
        target = self._faults.read_object(
            reader.get('safety'), reader.path_of('safety')
        )
        if target is None:
            return None
        target.expect_keys((), ('copies', 'repeatable'))
        if is_read and target.has('copies'):
            self._faults.add(
                target.path_of('copies'),
                FaultCode.NOT_APPLICABLE,
                'must not be set for a class of reads',
            )
        copies = target.read_int('copies', MIN_COPIES, MAX_COPIES)
        is_repeatable = target.read_bool('repeatable', is_read)
        return Safety(copies or MIN_COPIES, is_repeatable)

    def _read_tenant(self, name: str, reader: ObjectReader) -> Tenant | None:
        reader.expect_keys(('ledgers',))
        if not reader.has('ledgers'):
            return None
        ledgers = self._faults.read_object(
            reader.get('ledgers'), reader.path_of('ledgers')
        )
        if ledgers is None:
            return None
        grants = []
        for ledger, value in ledgers.items():
            path = ledgers.path_of(ledger)
            self._faults.check_ledger_name(ledger, path)
            self._check_ledger(ledger, path)
            grants.append(Grant(ledger, self._read_class_names(value, path)))
        return Tenant(name, tuple(grants))

    def _read_class_names(self, value: Any, path: str) -> tuple[str, ...]:
        if not isinstance(value, list):
            self._faults.add(
                path, FaultCode.WRONG_TYPE, 'a list of classes is expected'
            )
            return ()
        names: list[str] = []
        for index, name in enumerate(value):
            item_path = join_path(path, index)
            if not isinstance(name, str):
                self._faults.add(
                    item_path, FaultCode.WRONG_TYPE, 'a name is expected'
                )
            elif name in names:
                self._faults.add(
                    item_path, FaultCode.DUPLICATE_NAME, 'the name is repeated'
                )
            else:
                self._check_class_name(name, item_path)
                names.append(name)
        return tuple(names)

    def _check_class_name(self, name: str, path: str) -> None:
        if name not in self._class_names:
            self._faults.add(
                path, FaultCode.UNKNOWN_CLASS, 'the class is not declared'
            )

    def _check_ledger(self, ledger: str, path: str) -> None:
        if self._ledgers is not None and ledger not in self._ledgers:
            self._faults.add(
                path,
                FaultCode.UNKNOWN_LEDGER,
                'the platform lists no such ledger',
            )

    def _read_stop(
        self, name: str, reader: ObjectReader
    ) -> PlannedStop | None:
        reader.expect_keys(('ledger', 'zone'))
        ledger = reader.read_name('ledger')
        zone = reader.read_name('zone')
        if ledger is None or zone is None:
            return None
        self._check_ledger(ledger, reader.path_of('ledger'))
        return PlannedStop(name, ledger, zone)
