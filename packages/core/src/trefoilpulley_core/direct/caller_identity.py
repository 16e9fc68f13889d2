"""Decides which customer a caller is.

Load pattern: callers keep sessions open for hours, while keys are added,
removed and moved to other customers by configurations. A key is therefore
resolved against the configuration in force whenever new work begins, and not
when the session is opened. An open transaction ends with the key that began
it.
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
    if not is_key_needed(table, database):
        return Success(None)
    customer = table.customers.find_by_digest(digest)
    if customer is None:
        return Failed(NotAuthenticated('the key belongs to no customer'))
    return Success(customer)


def is_still_customer(
    table: RouteTable, customer: Customer | None, digest: KeyDigest
) -> bool:
    """Return whether a key still belongs to the customer that used it.

    Parameters
    ----------
    table : RouteTable
        Configuration in force.
    customer : Customer or None
        Customer for which work with the key has begun; ``None`` for work
        that needed no key.
    digest : KeyDigest
        Digest of the key.
    """
    if customer is None:
        return True
    if table.customers is None:
        return False
    holder = table.customers.find_by_digest(digest)
    return holder is not None and holder.name == customer.name


def is_key_needed(table: RouteTable, database: str) -> bool:
    """Return whether callers of a database must be customers.

    Parameters
    ----------
    table : RouteTable
        Configuration in force.
    database : str
        Database name that the caller gave.
    """
    route = table.routes.get(database)
    return (
        table.customers is not None
        and route is not None
        and not route.is_public
    )


def find_customer(
    table: RouteTable, database: str, name: str
) -> Result[Customer | None, Failure]:
    """Return the customer that an operator names.

    The name of an unknown customer is not repeated, since it may be a key.

    Parameters
    ----------
    table : RouteTable
        Configuration in force.
    database : str
        Database name of the request.
    name : str
        Name of the customer; empty for none.

    Returns
    -------
    Result[Customer | None, Failure]
        As for `identify_caller`.
    """
    if not is_key_needed(table, database):
        return Success(None)
    if not name:
        return Failed(NotAuthenticated('the request names no customer'))
    customer = table.customers.customers.get(name)
    if customer is None:
        return Failed(NotAuthenticated('no customer has this name'))
    return Success(customer)
