"""WebSocket and CBOR transport between processes."""
