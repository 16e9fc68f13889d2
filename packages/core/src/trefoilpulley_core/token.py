"""Signed session tokens: the positions a session must see again."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import cbor2
from itsdangerous import BadSignature
from itsdangerous import Signer
from returns.result import Failure as Failed
from returns.result import Result
from returns.result import Success

from trefoilpulley_core.failure import Failure
from trefoilpulley_core.failure import InvalidToken
from trefoilpulley_core.position import Position

if TYPE_CHECKING:
    from collections.abc import Sequence

_SALT = b'trefoilpulley.session'


@dataclass(frozen=True, slots=True)
class Floor:
    """Position that a session must see of one database."""

    database: str
    """Name of the database."""

    position: Position
    """Least position of an answer."""


@dataclass(frozen=True, slots=True)
class SessionToken:
    """What a session carries between hosts."""

    tenant: str
    """Tenant of the session."""

    floors: tuple[Floor, ...] = ()
    """Floors of the databases that the session has touched."""

    def floor_of(self, database: str) -> Position:
        """Return the floor of a database; the beginning if untouched."""
        for floor in self.floors:
            if floor.database == database:
                return floor.position
        return Position()

    def with_floor(self, database: str, position: Position) -> SessionToken:
        """Return a token whose floor of a database is no lower."""
        current = self.floor_of(database)
        if position <= current:
            return self
        others = tuple(f for f in self.floors if f.database != database)
        return SessionToken(self.tenant, (*others, Floor(database, position)))


class TokenCodec:
    """Signs and verifies the session tokens of one deployment.

    Parameters
    ----------
    deployment : str
        Name of the deployment; tokens of another are refused.
    keys : Sequence[str]
        Signing keys, oldest first; the last one signs.
    """

    def __init__(self, deployment: str, keys: Sequence[str]) -> None:
        self._deployment = deployment
        self._signer = Signer(list(keys), salt=_SALT)

    def encode(self, token: SessionToken) -> bytes:
        """Return the signed form of a token."""
        floors = [
            (f.database, f.position.term, f.position.index)
            for f in token.floors
        ]
        body = cbor2.dumps([self._deployment, token.tenant, floors])
        return self._signer.sign(body)

    def decode(
        self, data: bytes, tenant: str
    ) -> Result[SessionToken, Failure]:
        """Verify a signed token of a tenant."""
        try:
            body = cbor2.loads(self._signer.unsign(data))
        except (BadSignature, cbor2.CBORDecodeError):
            return Failed(InvalidToken('signature does not match'))
        deployment, owner, floors = body
        if deployment != self._deployment:
            return Failed(InvalidToken('token of another deployment'))
        if owner != tenant:
            return Failed(InvalidToken('token of another tenant'))
        return Success(
            SessionToken(
                owner,
                tuple(Floor(d, Position(t, i)) for d, t, i in floors),
            )
        )
