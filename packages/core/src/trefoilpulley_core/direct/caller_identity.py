"""Decides which customer a caller is.

Load pattern: callers keep sessions open for hours, while keys are added,
removed and moved to other customers by configurations. A key is therefore
resolved against the configuration in force whenever new work begins, and not
when the session is opened.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Failure as Failed
from returns.result import Success

from trefoilpulley_core.failure import NotAuthenticated

if TYPE_CHECKING:
    from returns.result import Result

    from trefoilpulley_core.direct.customers import Customer
    from trefoilpulley_core.direct.customers import KeyDigest
    from trefoilpulley_core.direct.routes import RouteTable
    from trefoilpulley_core.failure import Failure


def identify_caller(
    table: RouteTable, database: str, digest: KeyDigest
) -> Result[Customer | None, Failure]:
    """Return the customer of a caller.

    Parameters
    ----------
    table : RouteTable
        Configuration in force.
    database : str
        Database name that the caller gave.
    digest : KeyDigest
        Digest of the caller's key.

    Returns
    -------
    Result[Customer | None, Failure]
        The customer; ``None`` where callers need no key, and for a database
        without a route, which is refused for that reason; `NotAuthenticated`
        if no customer holds the key.
    """
    route = table.routes.get(database)
    if table.customers is None or route is None or route.is_public:
        return Success(None)
    customer = table.customers.find_by_digest(digest)
    if customer is None:
        return Failed(NotAuthenticated('the key belongs to no customer'))
    return Success(customer)
