"""Compression of the messages on a channel.

Bytes between availability zones are expensive, and most of them are relayed
statements and their rows. Field names and text compress to about half, at
some 30 us of processor time per message. A client offers the compression only
on channels to other zones. A peer that does not support it declines the offer
during the WebSocket handshake.
"""

from __future__ import annotations

from websockets.extensions import permessage_deflate

WINDOW_BITS = 12
"""Size of the compression window as a power of two, in bytes.

A window of 4 KiB covers the last few messages. With the memory level, it
limits the state of a channel to about 40 KiB.
"""

COMPRESS_SETTINGS = {'memLevel': 5}
"""Settings of the compressor."""


def offer() -> tuple[permessage_deflate.ClientPerMessageDeflateFactory, ...]:
    """Return the extensions that a client offers."""
    return (
        permessage_deflate.ClientPerMessageDeflateFactory(
            server_max_window_bits=WINDOW_BITS,
            client_max_window_bits=WINDOW_BITS,
            compress_settings=COMPRESS_SETTINGS,
        ),
    )


def accept() -> tuple[permessage_deflate.ServerPerMessageDeflateFactory, ...]:
    """Return the extensions that a server accepts."""
    return (
        permessage_deflate.ServerPerMessageDeflateFactory(
            server_max_window_bits=WINDOW_BITS,
            client_max_window_bits=WINDOW_BITS,
            compress_settings=COMPRESS_SETTINGS,
        ),
    )
