"""Last step of the pipeline: creates the answer with a session token."""

from __future__ import annotations

from typing import TYPE_CHECKING

from trefoilpulley_core.caller import Answer
from trefoilpulley_core.declarations import WorkKind

if TYPE_CHECKING:
    from trefoilpulley_core.token import TokenCodec
    from trefoilpulley_node.pipeline.request import PipelineRequest


class AnswerBuilder:
    """Creates the caller's answer from an executed request.

    Parameters
    ----------
    codec : TokenCodec
        Signs session tokens.
    """

    def __init__(self, codec: TokenCodec) -> None:
        self._codec = codec

    def make(self, req: PipelineRequest) -> Answer:
        """Return the answer; the token of a write has a raised floor."""
        delivered = req.delivered
        return Answer(
            delivered.result.columns,
            delivered.result.rows,
            delivered.result.row_count,
            self._make_token(req),
            delivered.member,
            delivered.age_ms,
        )

    def _make_token(self, req: PipelineRequest) -> bytes:
        token = req.token
        if _raises_floor(req):
            position = req.delivered.result.position
            token = token.with_floor(req.database.name, position)
        if token is req.token and req.message.token:
            return req.message.token
        return self._codec.encode(token)


def _raises_floor(req: PipelineRequest) -> bool:
    # A read without a known floor sets the floor to the position that
    # the read has seen, so that later reads of the session see no older
    # data.
    return req.work_class.work is WorkKind.WRITE or req.floor is None
