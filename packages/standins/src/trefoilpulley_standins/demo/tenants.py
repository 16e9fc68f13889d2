"""What the tenants of a deployment may use, and what they may not."""

from __future__ import annotations

from functools import cache
from typing import TYPE_CHECKING

from trefoilpulley_core.declarations import Declarations
from trefoilpulley_core.declarations import Grant
from trefoilpulley_core.declarations import WorkKind
from trefoilpulley_standins.demo.workload import Step
from trefoilpulley_standins.demo.workload import StepKind
from trefoilpulley_standins.demo.workload import TenantWork
from trefoilpulley_standins.starting import load_declarations

if TYPE_CHECKING:
    from collections.abc import Iterator

    from trefoilpulley_standins.deployment import Deployment

FOREIGN_AT_MS = 2000
"""Time of the tries at other tenants' databases, in milliseconds."""


def list_works(deployment: Deployment) -> tuple[TenantWork, ...]:
    """Return the work that each grant of the declarations allows."""
    declarations = load_declarations(deployment)
    return tuple(
        _work_of(tenant.name, grant, deployment, declarations)
        for tenant in declarations.tenants
        for grant in tenant.grants
    )


@cache
def find_writer(deployment: Deployment, database: int) -> str:
    """Return the first tenant that may write to a database."""
    return next(
        w.tenant
        for w in list_works(deployment)
        if deployment.write_class in w.writes and database in w.databases
    )


def make_foreign_steps(
    deployment: Deployment, first_session: int
) -> Iterator[Step]:
    """Return a read and a write of each tenant where it has no grant.

    Parameters
    ----------
    deployment : Deployment
        Deployment.
    first_session : int
        Number of the first session; each tenant has one of its own.

    Returns
    -------
    Iterator[Step]
        Steps; none for a tenant that may use every database.
    """
    works = list_works(deployment)
    tenants = dict.fromkeys(w.tenant for w in works)
    for session, tenant in enumerate(tenants, first_session):
        own = [w for w in works if w.tenant == tenant]
        foreign = _find_foreign(own, deployment)
        if foreign is None:
            continue
        for kind in (StepKind.READ, StepKind.WRITE):
            work_class = _first_class(own, kind)
            if work_class:
                yield Step(
                    FOREIGN_AT_MS,
                    session,
                    kind,
                    tenant,
                    work_class,
                    foreign,
                    is_foreign=True,
                )


def _work_of(
    tenant: str,
    grant: Grant,
    deployment: Deployment,
    declarations: Declarations,
) -> TenantWork:
    by_kind = {
        kind: tuple(
            n for n in grant.classes if declarations.find_class(n).work is kind
        )
        for kind in WorkKind
    }
    databases = tuple(
        n
        for n in range(deployment.databases)
        if grant.covers(deployment.ledger, deployment.database_name(n))
    )
    return TenantWork(
        tenant, by_kind[WorkKind.WRITE], by_kind[WorkKind.READ], databases
    )


def _find_foreign(own: list[TenantWork], deployment: Deployment) -> int | None:
    granted = {database for work in own for database in work.databases}
    others = (n for n in range(deployment.databases) if n not in granted)
    return next(others, None)


def _first_class(own: list[TenantWork], kind: StepKind) -> str:
    names = (
        name
        for work in own
        for name in (work.reads if kind is StepKind.READ else work.writes)
    )
    return next(names, '')
