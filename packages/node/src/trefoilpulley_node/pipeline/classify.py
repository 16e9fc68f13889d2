"""Filter that looks up the class of work and the database."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from returns.result import Failure as Failed
from returns.result import Result
from returns.result import Success

from trefoilpulley_core.failure import Failure
from trefoilpulley_core.failure import NotAuthorized
from trefoilpulley_core.failure import UnknownClass
from trefoilpulley_core.failure import UnknownDatabase
from trefoilpulley_node.pipeline.request import Filter
from trefoilpulley_node.pipeline.request import PipelineRequest

if TYPE_CHECKING:
    from collections.abc import Callable

    from trefoilpulley_core.catalog import DatabaseEntry
    from trefoilpulley_core.declarations import Declarations
    from trefoilpulley_core.declarations import Tenant


class ClassificationFilter(Filter):
    """Looks up class and database and checks the grants of the tenant.

    Parameters
    ----------
    get_declarations : Callable[[], Declarations]
        Returns the declarations in force.
    find_database : Callable[[str], DatabaseEntry | None]
        Returns a database by name.
    """

    def __init__(
        self,
        get_declarations: Callable[[], Declarations],
        find_database: Callable[[str], DatabaseEntry | None],
    ) -> None:
        self._get_declarations = get_declarations
        self._find_database = find_database

    def apply(self, req: PipelineRequest) -> Result[PipelineRequest, Failure]:
        """Add the class of work, the database and the deadline."""
        declarations = self._get_declarations()
        name = req.message.work_class
        work_class = declarations.find_class(name)
        if work_class is None:
            return Failed(UnknownClass(name))
        database = self._find_database(req.message.database)
        tenant = declarations.find_tenant(req.tenant)
        if database is None:
            return Failed(UnknownDatabase(req.message.database))
        if tenant is None or not self._is_granted(tenant, database, name):
            return Failed(NotAuthorized(f'{name} on {database.name}'))
        within_s = work_class.promptness.within_ms / 1000
        return Success(
            replace(
                req,
                work_class=work_class,
                database=database,
                deadline=req.arrived_at + within_s,
            )
        )

    def _is_granted(
        self, tenant: Tenant, database: DatabaseEntry, work_class: str
    ) -> bool:
        return any(
            grant.covers(database.ledger, database.name)
            and work_class in grant.classes
            for grant in tenant.grants
        )
