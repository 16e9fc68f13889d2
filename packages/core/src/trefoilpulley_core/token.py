"""Signed session tokens, which hold the floors of a session.

A floor is the position of a database that the session has already seen
or written. Later answers to the session must include this position.
"""

from __future__ import annotations

from dataclasses import dataclass
import hashlib
from typing import Any
from typing import TYPE_CHECKING

import cbor2
from itsdangerous import BadSignature
from itsdangerous import Signer
from returns.result import Failure as Failed
from returns.result import Result
from returns.result import Success

from trefoilpulley_core.failure import Failure
from trefoilpulley_core.failure import InvalidToken
from trefoilpulley_core.position import BEGINNING
from trefoilpulley_core.position import Position

if TYPE_CHECKING:
    from collections.abc import Sequence

MAX_TOKEN_BYTES = 8192
"""Maximum size of a token, in bytes."""

MAX_FLOORS = 64
"""Number of databases whose floors a token holds."""

_SALT = b'trefoilpulley.session'
"""Salt that separates these signatures from other uses of the keys."""


@dataclass(frozen=True, slots=True)
class Floor:
    """Position of a database that answers to a session must include."""

    database: str
    """Name of the database."""

    position: Position
    """Lowest permitted position of an answer."""


@dataclass(frozen=True, slots=True)
class SessionToken:
    """State of a session, carried by the caller between hosts."""

    tenant: str
    """Tenant of the session."""

    floors: tuple[Floor, ...] = ()
    """Floors of the session, the most recently raised last."""

    is_partial: bool = False
    """Whether floors were dropped because of the limit."""

    def floor_of(self, database: str) -> Position | None:
        """Return the floor of a database.

        Returns
        -------
        Position | None
            `BEGINNING` for a database that the session has not used;
            ``None`` if the floor may have been dropped.
        """
        for floor in self.floors:
            if floor.database == database:
                return floor.position
        return None if self.is_partial else BEGINNING

    def with_floor(self, database: str, position: Position) -> SessionToken:
        """Return a token with the floor of a database raised to a position.

        A floor of a newer term replaces one of an older term, because
        all records that were acknowledged in the older term precede the
        newer term in the log.
        """
        current = self.floor_of(database)
        if current is not None and position <= current:
            return self
        others = tuple(f for f in self.floors if f.database != database)
        floors = (*others, Floor(database, position))
        is_partial = self.is_partial or len(floors) > MAX_FLOORS
        return SessionToken(self.tenant, floors[-MAX_FLOORS:], is_partial)

    def merge(self, other: SessionToken) -> SessionToken:
        """Return a token with the higher floors of two tokens."""
        merged = SessionToken(
            self.tenant, self.floors, self.is_partial or other.is_partial
        )
        for floor in other.floors:
            merged = merged.with_floor(floor.database, floor.position)
        return merged


class TokenCodec:
    """Signs and verifies the session tokens of one deployment.

    Parameters
    ----------
    deployment : str
        Name of the deployment; tokens of other deployments are refused.
    keys : Sequence[str]
        Signing keys, oldest first. The last key signs new tokens; all
        keys verify.
    """

    def __init__(self, deployment: str, keys: Sequence[str]) -> None:
        self._deployment = deployment
        self._signer = Signer(
            list(keys), salt=_SALT, digest_method=hashlib.sha256
        )

    def encode(self, token: SessionToken) -> bytes:
        """Encode and sign a token."""
        floors = [
            (f.database, f.position.term, f.position.index)
            for f in token.floors
        ]
        body = [self._deployment, token.tenant, floors, token.is_partial]
        return self._signer.sign(cbor2.dumps(body))

    def decode(
        self, data: bytes, tenant: str
    ) -> Result[SessionToken, Failure]:
        """Verify and decode a token of a tenant."""
        if len(data) > MAX_TOKEN_BYTES:
            return Failed(InvalidToken('the token is too large'))
        try:
            body = cbor2.loads(self._signer.unsign(data))
        except (BadSignature, cbor2.CBORDecodeError):
            return Failed(InvalidToken('the signature is invalid'))
        return self._read_body(body, tenant)

    def _read_body(
        self, body: Any, tenant: str
    ) -> Result[SessionToken, Failure]:
        if not isinstance(body, list) or len(body) != 4:
            return Failed(InvalidToken('the body is malformed'))
        deployment, owner, entries, is_partial = body
        if deployment != self._deployment:
            return Failed(InvalidToken('the token is of another deployment'))
        if owner != tenant:
            return Failed(InvalidToken('the token is of another tenant'))
        floors = _read_floors(entries)
        if floors is None or not isinstance(is_partial, bool):
            return Failed(InvalidToken('the floors are malformed'))
        return Success(SessionToken(owner, floors, is_partial))


def _read_floors(entries: Any) -> tuple[Floor, ...] | None:
    if not isinstance(entries, list) or len(entries) > MAX_FLOORS:
        return None
    if not all(_is_floor_entry(entry) for entry in entries):
        return None
    return tuple(Floor(d, Position(t, i)) for d, t, i in entries)


def _is_floor_entry(entry: Any) -> bool:
    if not isinstance(entry, list) or len(entry) != 3:
        return False
    database, term, index = entry
    return (
        isinstance(database, str)
        and _is_non_negative_int(term)
        and _is_non_negative_int(index)
    )


def _is_non_negative_int(value: Any) -> bool:
    return type(value) is int and value >= 0
