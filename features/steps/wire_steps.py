"""Steps for frames on the wire."""

from __future__ import annotations

from typing import Any

from behave import given
from behave import then
from behave import when
from returns.pipeline import is_successful

from trefoilpulley_core.caller import Execute
from trefoilpulley_core.failure import MalformedMessage
from trefoilpulley_core.failure import ReplicaBehind
from trefoilpulley_core.peer import PooledFailure
from trefoilpulley_node.peers import read_failure
from trefoilpulley_wire.caller_codec import CALLER_CODEC


class WireSteps:
    """Steps that encode and decode frames."""

    @staticmethod
    @given("a caller's request with every kind of parameter")
    def make_request(context: Any) -> None:
        """Build a request with a parameter of each type."""
        context.request = Execute(
            'r-1',
            'filing',
            'register-ledger/0',
            'insert',
            (None, 1, 2.5, 'sett', b'\x00'),
            b'token',
        )

    @staticmethod
    @when('the request is encoded and decoded')
    def encode_and_decode(context: Any) -> None:
        """Encode the request and decode the frame."""
        data = CALLER_CODEC.encode(5, context.request)
        context.frame = CALLER_CODEC.decode(data).unwrap()

    @staticmethod
    @then('the decoded request equals the original')
    def check_request(context: Any) -> None:
        """Compare the frame with the original request."""
        assert context.frame.sequence == 5
        assert context.frame.message == context.request

    @staticmethod
    @when('the frame "{data}" is decoded')
    def decode_frame(context: Any, data: str) -> None:
        """Decode a frame of raw bytes."""
        context.data = bytes.fromhex(data)
        context.decoded = CALLER_CODEC.decode(context.data)

    @staticmethod
    @then('the frame is refused as malformed')
    def check_malformed(context: Any) -> None:
        """Check the class of the failure."""
        assert not is_successful(context.decoded)
        assert isinstance(context.decoded.failure(), MalformedMessage)

    @staticmethod
    @then("the frame's sequence number is {sequence:d}")
    def check_sequence(context: Any, sequence: int) -> None:
        """Compare the sequence number that the refusal would use."""
        found = CALLER_CODEC.decode_sequence(context.data)
        assert found == sequence

    @staticmethod
    @when('the failure "{code}" is read from the wire')
    def read_failure(context: Any, code: str) -> None:
        """Convert a failure message into a typed failure."""
        context.failure = read_failure(PooledFailure(code))

    @staticmethod
    @then('the failure is of the class that the delivery filter tests for')
    def check_failure(context: Any) -> None:
        """Check for the class itself, not for another class of that name."""
        assert isinstance(context.failure, ReplicaBehind)
