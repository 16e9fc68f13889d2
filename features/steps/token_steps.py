"""Steps on session tokens."""

from __future__ import annotations

import json
from typing import Any

from behave import given
from behave import then
from behave import when
import cbor2
import hypothesis
from hypothesis import strategies
from returns.result import Result

from trefoilpulley_core.caller import Execute
from trefoilpulley_core.failure import Failure
from trefoilpulley_core.failure import InvalidToken
from trefoilpulley_core.position import BEGINNING
from trefoilpulley_core.position import Position
from trefoilpulley_core.token import Floor
from trefoilpulley_core.token import SessionToken
from trefoilpulley_core.token import TokenCodec
from trefoilpulley_node.pipeline.request import PipelineRequest
from trefoilpulley_node.pipeline.session_floor import SessionFloorFilter

EXAMPLES = 300
"""Generated tokens."""


class _TrustingCodec(TokenCodec):
    """Deliberate fault: takes every signed body as it is."""

    def _read_body(
        self, body: Any, tenant: str
    ) -> Result[SessionToken, Failure]:
        _, owner, entries, is_partial = body
        floors = tuple(Floor(d, Position(t, i)) for d, t, i in entries)
        return Result.from_value(SessionToken(owner, floors, is_partial))


class TokenSteps:
    """Steps that sign and read tokens."""

    @staticmethod
    @given('a session of "{tenant}"')
    def make_session(context: Any, tenant: str) -> None:
        """Make a session that has touched nothing."""
        context.session = SessionToken(tenant)

    @staticmethod
    @given('a session of "{tenant}" that has written {count:d} databases')
    def make_written(context: Any, tenant: str, count: int) -> None:
        """Make a session with a floor for each database."""
        context.session = SessionToken(tenant)
        for number in range(count):
            context.session = context.session.with_floor(
                f'db/{number}', Position(1, number + 1)
            )

    @staticmethod
    @when('its token is signed and read')
    def read_own(context: Any) -> None:
        """Send the session through the codec."""
        codec = TokenCodec('d', ['k1'])
        context.result = codec.decode(
            codec.encode(context.session), context.session.tenant
        )
        context.session = context.result.unwrap()

    @staticmethod
    @when('it has seen "{database}" at term {term:d} and index {index:d}')
    def raise_floor(
        context: Any, database: str, term: int, index: int
    ) -> None:
        """Raise one floor."""
        context.session = context.session.with_floor(
            database, Position(term, index)
        )

    @staticmethod
    @when(
        'it is merged with one that has seen "{database}" at term {term:d} '
        'and index {index:d}'
    )
    def merge(context: Any, database: str, term: int, index: int) -> None:
        """Merge with a session of one floor."""
        other = SessionToken(context.session.tenant)
        other = other.with_floor(database, Position(term, index))
        context.session = context.session.merge(other)

    @staticmethod
    @when('its token is read {how}')
    def read_elsewhere(context: Any, how: str) -> None:
        """Read the token at a codec that differs."""
        data = TokenCodec('d', ['k1']).encode(context.session)
        keys = ['k1', 'k2']
        tenant = context.session.tenant
        deployment = 'd'
        if how == 'by another tenant':
            tenant = 'weavers'
        elif how == 'by another deployment':
            deployment = 'e'
        elif how == 'with a byte changed':
            data = data[:5] + bytes([data[5] ^ 1]) + data[6:]
        elif how == 'without its signature':
            data = data.rpartition(b'.')[0]
        elif how == 'after its key was withdrawn':
            keys = ['k2']
        else:
            assert how == 'after a new key was added', how
        context.result = TokenCodec(deployment, keys).decode(data, tenant)

    @staticmethod
    @when('a signed body holds {body}')
    def read_body(context: Any, body: str) -> None:
        """Sign a body of any shape and read it."""
        codec = TokenCodec('d', ['k1'])
        data = codec._signer.sign(cbor2.dumps(json.loads(body)))
        context.result = codec.decode(data, 't')

    @staticmethod
    @when('a codec that trusts every signed body reads null')
    def read_trusting(context: Any) -> None:
        """Read a body that is no list with the deliberate fault."""
        codec = _TrustingCodec('d', ['k1'])
        data = codec._signer.sign(cbor2.dumps(None))
        context.error = None
        try:
            codec.decode(data, 't')
        except TypeError as exc:
            context.error = exc

    @staticmethod
    @when('a token of {size:d} bytes is read')
    def read_large(context: Any, size: int) -> None:
        """Read a large token with a good signature."""
        codec = TokenCodec('d', ['k1'])
        data = codec._signer.sign(bytes(size))
        context.result = codec.decode(data, 't')

    @staticmethod
    @when('generated bytes are read as tokens')
    def read_generated(context: Any) -> None:
        """Read unsigned bytes, and signed bytes of no shape."""
        codec = TokenCodec('d', ['k1'])
        context.results = []

        @hypothesis.settings(
            derandomize=True,
            max_examples=EXAMPLES,
            deadline=None,
            database=None,
        )
        @hypothesis.given(strategies.binary(max_size=64))
        def read(data: bytes) -> None:
            signed = codec._signer.sign(data)
            for token in (data, signed):
                context.results.append(codec.decode(token, 't'))

        read()

    @staticmethod
    @when('a request of "{tenant}" comes without a token')
    def pass_filter(context: Any, tenant: str) -> None:
        """Send a request through the filter that reads tokens."""
        message = Execute('r-1', 'lookup', 'db/0', 'select 1')
        req = PipelineRequest(tenant, message, 0.0)
        session_floor = SessionFloorFilter(TokenCodec('d', ['k1']))
        found = session_floor.apply(req).unwrap()
        assert found.floor is None
        context.session = found.token

    @staticmethod
    @then('the same session comes back')
    def check_same(context: Any) -> None:
        """Compare with the session before."""
        assert context.result.unwrap() == context.session

    @staticmethod
    @then('the token is refused as invalid')
    def check_refused(context: Any) -> None:
        """Expect the typed failure."""
        assert isinstance(context.result.failure(), InvalidToken)

    @staticmethod
    @then('every one is refused as invalid')
    def check_all_refused(context: Any) -> None:
        """Expect the typed failure each time."""
        assert len(context.results) >= EXAMPLES
        for result in context.results:
            assert isinstance(result.failure(), InvalidToken)

    @staticmethod
    @then('it fails')
    def check_fault(context: Any) -> None:
        """Expect the deliberate fault to show."""
        assert context.error is not None

    @staticmethod
    @then('its floor of "{database}" is the beginning')
    def check_beginning(context: Any, database: str) -> None:
        """Expect an untouched database."""
        assert context.session.floor_of(database) == BEGINNING

    @staticmethod
    @then('its floor of "{database}" is unknown')
    def check_unknown(context: Any, database: str) -> None:
        """Expect a floor that was left out."""
        assert context.session.floor_of(database) is None

    @staticmethod
    @then('its floor of "{database}" is known')
    def check_known(context: Any, database: str) -> None:
        """Expect a floor beyond the beginning."""
        assert context.session.floor_of(database) > BEGINNING

    @staticmethod
    @then('its floor of "{database}" is term {term:d} and index {index:d}')
    def check_floor(
        context: Any, database: str, term: int, index: int
    ) -> None:
        """Compare one floor."""
        found = context.session.floor_of(database)
        assert found == Position(term, index), found
