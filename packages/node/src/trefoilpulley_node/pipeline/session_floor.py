"""Filter that reads the session token."""

from __future__ import annotations

from dataclasses import replace
from functools import lru_cache
from typing import TYPE_CHECKING

from returns.result import Result
from returns.result import Success

from trefoilpulley_core.token import SessionToken
from trefoilpulley_node.pipeline.request import Filter
from trefoilpulley_node.pipeline.request import PipelineRequest

if TYPE_CHECKING:
    from trefoilpulley_core.failure import Failure
    from trefoilpulley_core.token import TokenCodec

TOKENS_CACHED = 4096
"""Verified tokens that are kept, as reads send the same one again."""


class SessionFloor(Filter):
    """Takes the floor of the database from the session token.

    Parameters
    ----------
    codec : TokenCodec
        Verifies tokens.
    """

    def __init__(self, codec: TokenCodec) -> None:
        self._decode = lru_cache(TOKENS_CACHED)(codec.decode)

    def apply(self, req: PipelineRequest) -> Result[PipelineRequest, Failure]:
        """Add the session and its floor; a missing token has none."""
        if not req.message.token:
            unknown = SessionToken(req.tenant, is_partial=True)
            return Success(replace(req, token=unknown))
        decoded = self._decode(req.message.token, req.tenant)
        return decoded.map(lambda token: _with_token(req, token))


def _with_token(req: PipelineRequest, token: SessionToken) -> PipelineRequest:
    floor = token.floor_of(req.database.name)
    return replace(req, token=token, floor=floor)
