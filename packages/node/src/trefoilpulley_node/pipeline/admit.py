"""Filter that admits a request or refuses it before any work is done."""

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


class AdmissionFilter(Filter):
    """Limits the running requests and refuses all requests while draining.

    Parameters
    ----------
    admission : Admission
        Limits the running requests of each tenant and class.
    clock : Clock
        Monotonic time.
    """

    def __init__(self, admission: Admission, clock: Clock) -> None:
        self._admission = admission
        self._clock = clock
        self.is_draining = False
        """Whether the host is draining and refuses new requests."""

        self.is_stopping = False
        """Whether the drain is over, so that no request may wait longer."""

    @property
    def running(self) -> int:
        """Number of admitted requests that have not finished."""
        return self._admission.total

    def apply(self, req: PipelineRequest) -> Result[PipelineRequest, Failure]:
        """Admit a request and add the key of its outcome.

        The caller must call `finish` for each admitted request.
        """
        if self.is_draining:
            return Failed(Draining('host is draining'))
        admitted = self._admission.admit(
            req.tenant, req.work_class.name, req.deadline, self._clock.now()
        )
        if not isinstance(admitted, Success):
            return admitted
        key = _outcome_key(req)
        return Success(req if key is None else replace(req, key=key))

    def finish(self, tenant: str) -> None:
        """Record that an admitted request of a tenant has finished."""
        self._admission.finish(tenant)


def _outcome_key(req: PipelineRequest) -> OutcomeKey | None:
    if isinstance(req.message, Execute):
        return make_key(req.tenant, req.message)
    if isinstance(req.message, LookUp):
        return OutcomeKey(req.tenant, req.message.request_id, ANY_CONTENT)
    return None


def make_key(tenant: str, message: Execute) -> OutcomeKey:
    """Return the outcome key of a statement, including a content digest."""
    content = cbor2.dumps((message.database, message.sql, message.parameters))
    return OutcomeKey(tenant, message.request_id, xxh3_128_hexdigest(content))
