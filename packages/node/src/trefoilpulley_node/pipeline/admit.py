"""Filter that takes a request in, or refuses it before any work."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import cbor2
from returns.result import Failure as Failed
from returns.result import Result
from returns.result import Success
from xxhash import xxh3_128_hexdigest

from trefoilpulley_core.caller import Execute
from trefoilpulley_core.caller import LookUp
from trefoilpulley_core.failure import Draining
from trefoilpulley_core.failure import Failure
from trefoilpulley_core.upstream import ANY_CONTENT
from trefoilpulley_core.upstream import OutcomeKey
from trefoilpulley_node.pipeline.request import Filter
from trefoilpulley_node.pipeline.request import PipelineRequest

if TYPE_CHECKING:
    from trefoilpulley_core.admission import Admission
    from trefoilpulley_core.clock import Clock


class Admit(Filter):
    """Bounds the requests in work and refuses all while draining.

    Parameters
    ----------
    admission : Admission
        Share of each tenant and class.
    clock : Clock
        Monotonic time.
    """

    def __init__(self, admission: Admission, clock: Clock) -> None:
        self._admission = admission
        self._clock = clock
        self.is_draining = False
        """Whether the host is leaving."""

    @property
    def running(self) -> int:
        """Requests in work."""
        return self._admission.total

    def apply(self, req: PipelineRequest) -> Result[PipelineRequest, Failure]:
        """Add the key of the outcome to an admitted request.

        Each admitted request ends with `finish`.
        """
        if self.is_draining:
            return Failed(Draining('host is leaving'))
        admitted = self._admission.admit(
            req.tenant, req.work_class.name, req.deadline, self._clock.now()
        )
        if not isinstance(admitted, Success):
            return admitted
        key = _find_key(req)
        return Success(req if key is None else replace(req, key=key))

    def finish(self, tenant: str) -> None:
        """Count an admitted request as ended."""
        self._admission.finish(tenant)


def _find_key(req: PipelineRequest) -> OutcomeKey | None:
    if isinstance(req.message, Execute):
        return make_key(req.tenant, req.message)
    if isinstance(req.message, LookUp):
        return OutcomeKey(req.tenant, req.message.request_id, ANY_CONTENT)
    return None


def make_key(tenant: str, message: Execute) -> OutcomeKey:
    """Return the key of a statement's outcome, with its content's digest."""
    content = cbor2.dumps((message.database, message.sql, message.parameters))
    return OutcomeKey(tenant, message.request_id, xxh3_128_hexdigest(content))
