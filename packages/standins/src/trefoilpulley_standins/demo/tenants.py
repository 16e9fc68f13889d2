"""Work that the tenants of a deployment are and are not granted."""

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

FOREIGN_STEPS_AT_MS = 2000
"""Time of the unauthorized requests, in milliseconds."""


def list_tenant_work(deployment: Deployment) -> tuple[TenantWork, ...]:
    """Return the work that each grant in the declarations allows."""
    declarations = load_declarations(deployment)
    return tuple(
        _make_tenant_work(tenant.name, grant, deployment, declarations)
        for tenant in declarations.tenants
        for grant in tenant.grants
    )


@cache
def find_writing_tenant(deployment: Deployment, database: int) -> str:
    """Return the first tenant with a write grant for a database."""
    return next(
        w.tenant
        for w in list_tenant_work(deployment)
        if deployment.write_class in w.writes and database in w.databases
    )


def make_foreign_steps(
    deployment: Deployment, first_session: int
) -> Iterator[Step]:
    """Yield a read and a write of each tenant on a database without a grant.

    Parameters
    ----------
    deployment : Deployment
        Deployment whose declarations apply.
    first_session : int
        Number of the first session; each tenant gets its own session.

    Returns
    -------
    Iterator[Step]
        Steps; none for a tenant that has grants for every database.
    """
    works = list_tenant_work(deployment)
    tenants = dict.fromkeys(w.tenant for w in works)
    for session, tenant in enumerate(tenants, first_session):
        tenant_work = [w for w in works if w.tenant == tenant]
        foreign = _find_foreign_database(tenant_work, deployment)
        if foreign is None:
            continue
        for kind in (StepKind.READ, StepKind.WRITE):
            work_class = _first_class(tenant_work, kind)
            if work_class:
                yield Step(
                    FOREIGN_STEPS_AT_MS,
                    session,
                    kind,
                    tenant,
                    work_class,
                    foreign,
                    is_foreign=True,
                )


def _make_tenant_work(
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


def _find_foreign_database(
    tenant_work: list[TenantWork], deployment: Deployment
) -> int | None:
    granted = {database for work in tenant_work for database in work.databases}
    others = (n for n in range(deployment.databases) if n not in granted)
    return next(others, None)


def _first_class(tenant_work: list[TenantWork], kind: StepKind) -> str:
    names = (
        name
        for work in tenant_work
        for name in (work.reads if kind is StepKind.READ else work.writes)
    )
    return next(names, '')
