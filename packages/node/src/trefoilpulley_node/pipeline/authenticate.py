"""Filter that checks the tenant of a request."""

from __future__ import annotations

import hmac
from typing import TYPE_CHECKING

from returns.result import Failure as Failed
from returns.result import Result
from returns.result import Success

from trefoilpulley_core.failure import Failure
from trefoilpulley_core.failure import NotAuthenticated
from trefoilpulley_node.pipeline.request import Filter
from trefoilpulley_node.pipeline.request import PipelineRequest

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from trefoilpulley_core.caller import Hello
    from trefoilpulley_core.declarations import Declarations
    from trefoilpulley_node.settings import TenantSecret


class AuthenticationFilter(Filter):
    """Checks the secrets of callers and whether their tenants are declared.

    Parameters
    ----------
    secrets : Sequence[TenantSecret]
        Secrets of the tenants, from the settings.
    get_declarations : Callable[[], Declarations]
        Returns the declarations in force.
    """

    def __init__(
        self,
        secrets: Sequence[TenantSecret],
        get_declarations: Callable[[], Declarations],
    ) -> None:
        self._secrets = {s.tenant: s.secret for s in secrets}
        self._get_declarations = get_declarations

    def check(self, hello: Hello) -> Result[str, Failure]:
        """Return the tenant of a caller with the right secret."""
        secret = self._secrets.get(hello.tenant)
        if secret is None or not hmac.compare_digest(
            secret.encode(), hello.secret.encode()
        ):
            return Failed(NotAuthenticated('unknown tenant or wrong secret'))
        return Success(hello.tenant)

    def apply(self, req: PipelineRequest) -> Result[PipelineRequest, Failure]:
        """Refuse a request whose tenant is no longer declared."""
        if self._get_declarations().find_tenant(req.tenant) is None:
            return Failed(NotAuthenticated('tenant is not declared'))
        return Success(req)
