"""CBOR form of the typed messages.

A frame is a sequence of three CBOR items: the sequence number, the tag
of the message's type and the message's fields. A request has a positive
sequence number, its reply the same number negated, and a one-way
message 0.
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

HEADER_BYTES = 64
"""Bytes that always hold a frame's sequence number and tag."""


@dataclass(frozen=True, slots=True)
class Frame:
    """One decoded message."""

    sequence: int
    """Sequence number; negative on a reply, 0 on a one-way message."""

    message: Any
    """Typed message."""


@dataclass(frozen=True, slots=True)
class _Encoder:
    tag: bytes
    unstructure: Callable[[Any], Any]


@dataclass(frozen=True, slots=True)
class _Structure:
    kind: type
    structure: Callable[[Any, type], Any]


class Codec:
    """Encodes and decodes one set of message types.

    Parameters
    ----------
    types : Iterable[type]
        Frozen data classes; the class name is the tag on the wire.
    unions : Mapping[type, Any], optional
        Union of data classes in a field of a message, by the message.
        Its values are told apart by their class names.
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
        self._kinds = {kind.__name__: kind for kind in types}
        self._encoders: dict[type, _Encoder] = {}
        self._structure: dict[str, _Structure] = {}
        self.traffic = Traffic()
        """Frames of every channel that uses this codec."""

    def encode(self, sequence: int, message: Any) -> bytes:
        """Return the frame of a message."""
        encoder = self._encoder_of(type(message))
        fields = cbor2.dumps(encoder.unstructure(message))
        return cbor2.dumps(sequence) + encoder.tag + fields

    def decode(self, data: bytes) -> Result[Frame, Failure]:
        """Decode a frame, or say why it is malformed."""
        try:
            return self._decode(data)
        except Exception as exc:  # noqa: H201 - any fault of the sender's
            return Failed(MalformedMessage(type(exc).__name__))

    def decode_sequence(self, data: bytes) -> int:
        """Return a frame's sequence number, or 0 where it has none."""
        try:
            sequence = cbor2.load(io.BytesIO(data[:HEADER_BYTES]))
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
            return Failed(MalformedMessage('sequence is not a number'))
        kind = self._kinds.get(tag) if isinstance(tag, str) else None
        if kind is None:
            return Failed(MalformedMessage('unknown type of message'))
        known = self._structure_of(kind)
        return Success(Frame(sequence, known.structure(fields, known.kind)))

    # Hooks are made on first use: making all of them takes longer than the
    # rest of a host's start.

    def _encoder_of(self, kind: type) -> _Encoder:
        encoder = self._encoders.get(kind)
        if encoder is None:
            self._prepare(kind)
            tag = cbor2.dumps(self._tag_of(kind))
            unstructure = self._converter.get_unstructure_hook(kind)
            encoder = self._encoders[kind] = _Encoder(tag, unstructure)
        return encoder

    def _structure_of(self, kind: type) -> _Structure:
        known = self._structure.get(kind.__name__)
        if known is None:
            self._prepare(kind)
            structure = self._converter.get_structure_hook(kind)
            known = self._structure[kind.__name__] = _Structure(
                kind, structure
            )
        return known

    def _prepare(self, kind: type) -> None:
        """Make the hooks of the union that a message holds."""
        union = self._unions.pop(kind, None)
        if union is not None:
            configure_tagged_union(union, self._converter)

    def _tag_of(self, kind: type) -> str:
        if self._kinds.get(kind.__name__) is not kind:
            raise KeyError(kind)
        return kind.__name__
