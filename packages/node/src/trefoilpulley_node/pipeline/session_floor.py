"""Filter that reads the floor from the session token."""

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

MAX_CACHED_TOKENS = 4096
"""Number of verified tokens in the cache.

The reads of a session send the same token repeatedly.
"""


class SessionFloorFilter(Filter):
    """Verifies the session token and reads the floor of the database.

    Parameters
    ----------
    codec : TokenCodec
        Verifies and decodes tokens.
    """

    def __init__(self, codec: TokenCodec) -> None:
        self._decode = lru_cache(MAX_CACHED_TOKENS)(codec.decode)

    def apply(self, req: PipelineRequest) -> Result[PipelineRequest, Failure]:
        """Add the session token and its floor.

        A request without a token has no floor.
        """
        if not req.message.token:
            empty_token = SessionToken(req.tenant, is_partial=True)
            return Success(replace(req, token=empty_token))
        decoded = self._decode(req.message.token, req.tenant)
        return decoded.map(lambda token: _with_token(req, token))


def _with_token(req: PipelineRequest, token: SessionToken) -> PipelineRequest:
    floor = token.floor_of(req.database.name)
    return replace(req, token=token, floor=floor)
