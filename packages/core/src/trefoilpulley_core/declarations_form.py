"""Converts declarations to the JSON document that operators edit."""

from __future__ import annotations

import json
from typing import Any
from typing import TYPE_CHECKING

from trefoilpulley_core.declarations import FreshnessKind
from trefoilpulley_core.declarations import WorkKind

if TYPE_CHECKING:
    from trefoilpulley_core.declarations import Declarations
    from trefoilpulley_core.declarations import Freshness
    from trefoilpulley_core.declarations import PlannedStop
    from trefoilpulley_core.declarations import Tenant
    from trefoilpulley_core.declarations import WorkClass


def format_declarations(declarations: Declarations) -> str:
    """Format declarations as JSON text for `check_declarations`."""
    document = describe_declarations(declarations)
    return json.dumps(document, indent=2) + '\n'


def describe_declarations(declarations: Declarations) -> dict[str, Any]:
    """Return declarations as a JSON-compatible dictionary."""
    return {
        'classes': {c.name: describe_class(c) for c in declarations.classes},
        'tenants': {t.name: _describe_tenant(t) for t in declarations.tenants},
        'stops': {s.name: describe_stop(s) for s in declarations.stops},
    }


def describe_class(work_class: WorkClass) -> dict[str, Any]:
    """Return a class of work as a JSON-compatible dictionary."""
    promptness = work_class.promptness
    return {
        'work': work_class.work.value,
        'freshness': _describe_freshness(work_class.freshness),
        'promptness': {
            'within_ms': promptness.within_ms,
            'share': promptness.share,
        },
        'safety': _describe_safety(work_class),
    }


def describe_stop(stop: PlannedStop) -> dict[str, Any]:
    """Return a planned stop as a JSON-compatible dictionary."""
    return {'ledger': stop.ledger, 'zone': stop.zone}


def _describe_freshness(freshness: Freshness) -> Any:
    if freshness.kind is FreshnessKind.AGE:
        return {'age_ms': freshness.max_age_ms}
    return freshness.kind.value


def _describe_safety(work_class: WorkClass) -> dict[str, Any]:
    safety = work_class.safety
    if work_class.work is WorkKind.READ:
        return {'repeatable': safety.is_repeatable}
    return {'copies': safety.copies, 'repeatable': safety.is_repeatable}


def _describe_tenant(tenant: Tenant) -> dict[str, Any]:
    return {'ledgers': {g.ledger: list(g.classes) for g in tenant.grants}}
