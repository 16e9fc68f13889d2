"""Transport of CBOR messages between processes over WebSocket."""
