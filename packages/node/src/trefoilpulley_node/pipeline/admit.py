"""Filter that takes a request in, or refuses it before any work."""

from __future__ import annotations

from dataclasses import replace

import cbor2
from returns.result import Failure as Failed
from returns.result import Result
from returns.result import Success
from xxhash import xxh3_128_hexdigest

from trefoilpulley_core.caller import Execute
from trefoilpulley_core.caller import LookUp
from trefoilpulley_core.failure import Draining
from trefoilpulley_core.failure import Failure
from trefoilpulley_core.failure import Overloaded
from trefoilpulley_core.upstream import ANY_CONTENT
from trefoilpulley_core.upstream import OutcomeKey
from trefoilpulley_node.pipeline.request import Filter
from trefoilpulley_node.pipeline.request import PipelineRequest

RUNNING_LIMIT = 4096
"""Requests that a host works on at once."""


class Admit(Filter):
    """Counts the running requests and refuses what can't be taken."""

    def __init__(self) -> None:
        self.is_draining = False
        """Whether the host is leaving."""

        self.running = 0
        """Requests being worked on."""

    def apply(self, req: PipelineRequest) -> Result[PipelineRequest, Failure]:
        """Add the key of the outcome to an admitted request."""
        if self.is_draining:
            return Failed(Draining('host is leaving'))
        if self.running > RUNNING_LIMIT:
            return Failed(Overloaded('host works on too many requests'))
        key = _find_key(req)
        return Success(req if key is None else replace(req, key=key))


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
