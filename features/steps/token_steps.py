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
"""Number of generated tokens."""


class _UncheckedCodec(TokenCodec):
    """Deliberate fault: decodes a signed body without a check."""

    def _read_body(
        self, body: Any, tenant: str
    ) -> Result[SessionToken, Failure]:
        _, owner, entries, is_partial = body
        floors = tuple(Floor(d, Position(t, i)) for d, t, i in entries)
        return Result.from_value(SessionToken(owner, floors, is_partial))


class TokenSteps:
    """Steps that encode and decode tokens."""

    @staticmethod
    @given('a session of "{tenant}"')
    def make_session(context: Any, tenant: str) -> None:
        """Make a session without floors."""
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
    @when('its token is encoded and decoded')
    def decode_own(context: Any) -> None:
        """Encode and decode the session."""
        codec = TokenCodec('d', ['k1'])
        context.result = codec.decode(
            codec.encode(context.session), context.session.tenant
        )
        context.session = context.result.unwrap()

    @staticmethod
    @when(
        'it receives an answer of "{database}" at term {term:d} and index '
        '{index:d}'
    )
    def raise_floor(
        context: Any, database: str, term: int, index: int
    ) -> None:
        """Raise the floor of a database to a position."""
        context.session = context.session.with_floor(
            database, Position(term, index)
        )

    @staticmethod
    @when(
        'it is merged with a session whose floor of "{database}" is term '
        '{term:d} and index {index:d}'
    )
    def merge(context: Any, database: str, term: int, index: int) -> None:
        """Merge with a session that has one floor."""
        other = SessionToken(context.session.tenant)
        other = other.with_floor(database, Position(term, index))
        context.session = context.session.merge(other)

    @staticmethod
    @when('its token is decoded {how}')
    def decode_elsewhere(context: Any, how: str) -> None:
        """Decode the token under different conditions."""
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
    @when('a token with the signed body {body} is decoded')
    def decode_body(context: Any, body: str) -> None:
        """Sign a body of any structure and decode it."""
        codec = TokenCodec('d', ['k1'])
        data = codec._signer.sign(cbor2.dumps(json.loads(body)))
        context.result = codec.decode(data, 't')

    @staticmethod
    @when('a codec without a check of the structure decodes null')
    def decode_unchecked(context: Any) -> None:
        """Decode a body that is not a list with the faulty codec."""
        codec = _UncheckedCodec('d', ['k1'])
        data = codec._signer.sign(cbor2.dumps(None))
        context.error = None
        try:
            codec.decode(data, 't')
        except TypeError as exc:
            context.error = exc

    @staticmethod
    @when('a token of {size:d} bytes is decoded')
    def decode_large(context: Any, size: int) -> None:
        """Decode a large token with a valid signature."""
        codec = TokenCodec('d', ['k1'])
        data = codec._signer.sign(bytes(size))
        context.result = codec.decode(data, 't')

    @staticmethod
    @when('generated bytes are decoded as tokens')
    def decode_generated(context: Any) -> None:
        """Decode unsigned bytes, and signed bytes that are no valid body."""
        codec = TokenCodec('d', ['k1'])
        context.results = []

        @hypothesis.settings(
            derandomize=True,
            max_examples=EXAMPLES,
            deadline=None,
            database=None,
        )
        @hypothesis.given(strategies.binary(max_size=64))
        def decode(data: bytes) -> None:
            signed = codec._signer.sign(data)
            for token in (data, signed):
                context.results.append(codec.decode(token, 't'))

        decode()

    @staticmethod
    @when('a request of "{tenant}" is received without a token')
    def pass_filter(context: Any, tenant: str) -> None:
        """Apply the filter that decodes tokens to a request."""
        message = Execute('r-1', 'lookup', 'db/0', 'select 1')
        req = PipelineRequest(tenant, message, 0.0)
        session_floor = SessionFloorFilter(TokenCodec('d', ['k1']))
        found = session_floor.apply(req).unwrap()
        assert found.floor is None
        context.session = found.token

    @staticmethod
    @then('the decoded session is the same')
    def check_same(context: Any) -> None:
        """Compare the decoded session with the original one."""
        assert context.result.unwrap() == context.session

    @staticmethod
    @then('the token is refused as invalid')
    def check_refused(context: Any) -> None:
        """Expect the failure ``InvalidToken``."""
        assert isinstance(context.result.failure(), InvalidToken)

    @staticmethod
    @then('every token is refused as invalid')
    def check_all_refused(context: Any) -> None:
        """Expect the failure ``InvalidToken`` for each token."""
        assert len(context.results) >= EXAMPLES
        for result in context.results:
            assert isinstance(result.failure(), InvalidToken)

    @staticmethod
    @then('the decoding fails')
    def check_decoding_fails(context: Any) -> None:
        """Expect an error of the codec without the check."""
        assert context.error is not None

    @staticmethod
    @then('its floor of "{database}" is the beginning of the log')
    def check_beginning(context: Any, database: str) -> None:
        """Expect the floor of a database that the session has not used."""
        assert context.session.floor_of(database) == BEGINNING

    @staticmethod
    @then('its floor of "{database}" is unknown')
    def check_unknown(context: Any, database: str) -> None:
        """Expect a floor that may have been dropped."""
        assert context.session.floor_of(database) is None

    @staticmethod
    @then('its floor of "{database}" is known')
    def check_known(context: Any, database: str) -> None:
        """Expect a floor above the beginning of the log."""
        assert context.session.floor_of(database) > BEGINNING

    @staticmethod
    @then('its floor of "{database}" is term {term:d} and index {index:d}')
    def check_floor(
        context: Any, database: str, term: int, index: int
    ) -> None:
        """Compare the floor of one database."""
        found = context.session.floor_of(database)
        assert found == Position(term, index), found
