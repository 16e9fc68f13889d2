"""Codec of the connections between callers and entry hosts."""

from __future__ import annotations

from trefoilpulley_core import caller
from trefoilpulley_wire.codec import Codec

CALLER_CODEC = Codec(
    (
        caller.Answer,
        caller.Begin,
        caller.Begun,
        caller.Commit,
        caller.Done,
        caller.Execute,
        caller.GetState,
        caller.Hello,
        caller.LookUp,
        caller.Refusal,
        caller.Rollback,
        caller.StateDump,
        caller.Welcome,
    )
)
"""Codec for the messages of `trefoilpulley_core.caller`."""
