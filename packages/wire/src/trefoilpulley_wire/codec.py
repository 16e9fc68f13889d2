"""CBOR encoding of the typed messages.

A frame consists of three CBOR items: the sequence number, the tag (the class
name of the message) and the fields of the message. A request has a positive
sequence number, its reply has the negated number of the request, and a
one-way message has the number 0.
"""

from __future__ import annotations

from dataclasses import dataclass
import io
from typing import Any
from typing import TYPE_CHECKING

from cattrs.preconf.cbor2 import make_converter
from cattrs.strategies import configure_tagged_union
import cbor2
from returns.result import Failure as Failed
from returns.result import Result
from returns.result import Success

from trefoilpulley_core.failure import Failure
from trefoilpulley_core.failure import MalformedMessage
from trefoilpulley_wire.traffic import Traffic

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping

FRAME_PREFIX_BYTES = 64
"""Length of a frame prefix that always contains sequence number and tag."""

ALL_ANSWERED = 'all requests that were read are answered'
"""Reason in a close frame; a request without a reply has not run."""


@dataclass(frozen=True, slots=True)
class Frame:
    """Decoded frame."""

    sequence: int
    """Sequence number; negative for a reply, 0 for a one-way message."""

    message: Any
    """Decoded message."""


@dataclass(frozen=True, slots=True)
class _Encoder:
    tag: bytes
    unstructure: Callable[[Any], Any]


@dataclass(frozen=True, slots=True)
class _Decoder:
    kind: type
    structure: Callable[[Any, type], Any]


class Codec:
    """Encoder and decoder for one set of message types.

    Parameters
    ----------
    types : Iterable[type]
        Message types, which are frozen data classes. The class name of a
        message type is its tag on the wire.
    unions : Mapping[type, Any], optional
        Maps a message type to the union of data classes that one of its
        fields holds. The encoded value carries its class name as a tag.
    """

    def __init__(
        self,
        types: Iterable[type],
        unions: Mapping[type, Any] | None = None,
    ) -> None:
        self._unions = dict(unions or {})
        self._converter = make_converter(
            omit_if_default=True, detailed_validation=False
        )
        self._types_by_tag = {
            message_type.__name__: message_type for message_type in types
        }
        self._encoders: dict[type, _Encoder] = {}
        self._decoders: dict[str, _Decoder] = {}
        self.traffic = Traffic()
        """Traffic counters of all channels that use this codec."""

    def encode(self, sequence: int, message: Any) -> bytes:
        """Return the encoded frame of a message."""
        encoder = self._encoder_of(type(message))
        fields = cbor2.dumps(encoder.unstructure(message))
        return cbor2.dumps(sequence) + encoder.tag + fields

    def decode(self, data: bytes) -> Result[Frame, Failure]:
        """Decode a frame; returns `MalformedMessage` for invalid input."""
        try:
            return self._decode(data)
        except Exception as exc:  # noqa: H201 - any malformed input
            return Failed(MalformedMessage(type(exc).__name__))

    def decode_sequence(self, data: bytes) -> int:
        """Return the sequence number of a frame, or 0 if it is malformed."""
        try:
            sequence = cbor2.load(io.BytesIO(data[:FRAME_PREFIX_BYTES]))
        except (cbor2.CBORError, ValueError):
            return 0
        return sequence if isinstance(sequence, int) else 0

    def _decode(self, data: bytes) -> Result[Frame, Failure]:
        stream = io.BytesIO(data)
        decoder = cbor2.CBORDecoder(stream)
        sequence = decoder.decode()
        tag = decoder.decode()
        fields = decoder.decode()
        if not isinstance(sequence, int):
            return Failed(
                MalformedMessage('sequence number is not an integer')
            )
        message_type = (
            self._types_by_tag.get(tag) if isinstance(tag, str) else None
        )
        if message_type is None:
            return Failed(MalformedMessage('unknown message type'))
        message_decoder = self._decoder_of(message_type)
        return Success(
            Frame(
                sequence,
                message_decoder.structure(fields, message_decoder.kind),
            )
        )

    # cattrs hooks are created on first use, because creating the hooks of all
    # message types takes longer than the rest of a host's startup.

    def _encoder_of(self, message_type: type) -> _Encoder:
        encoder = self._encoders.get(message_type)
        if encoder is None:
            self._configure_union(message_type)
            tag = cbor2.dumps(self._tag_of(message_type))
            unstructure = self._converter.get_unstructure_hook(message_type)
            encoder = self._encoders[message_type] = _Encoder(tag, unstructure)
        return encoder

    def _decoder_of(self, message_type: type) -> _Decoder:
        message_decoder = self._decoders.get(message_type.__name__)
        if message_decoder is None:
            self._configure_union(message_type)
            structure = self._converter.get_structure_hook(message_type)
            message_decoder = self._decoders[message_type.__name__] = _Decoder(
                message_type, structure
            )
        return message_decoder

    def _configure_union(self, message_type: type) -> None:
        """Create the hooks of the union in a field of the message type."""
        union = self._unions.pop(message_type, None)
        if union is not None:
            configure_tagged_union(union, self._converter)

    def _tag_of(self, message_type: type) -> str:
        if self._types_by_tag.get(message_type.__name__) is not message_type:
            raise KeyError(message_type)
        return message_type.__name__
