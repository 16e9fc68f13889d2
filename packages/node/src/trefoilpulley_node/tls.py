"""TLS contexts of the process, made with gevent's ``ssl`` module."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gevent import ssl

if TYPE_CHECKING:
    from trefoilpulley_node.settings import TlsSettings


def make_caller_context(cfg: TlsSettings | None) -> ssl.SSLContext | None:
    """Return the server context for callers, or ``None`` without TLS."""
    if cfg is None:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    _configure(context, cfg)
    return context


def make_peer_server_context(
    cfg: TlsSettings | None,
) -> ssl.SSLContext | None:
    """Return the server context for other hosts, or ``None`` without TLS.

    The context requires a certificate from each connecting host.
    """
    if cfg is None:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    _configure(context, cfg)
    context.verify_mode = ssl.CERT_REQUIRED
    context.load_verify_locations(cfg.authorities)
    return context


def make_peer_client_context(
    cfg: TlsSettings | None,
) -> ssl.SSLContext | None:
    """Return the client context for other hosts, or ``None`` without TLS."""
    if cfg is None:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    _configure(context, cfg)
    context.load_verify_locations(cfg.authorities)
    return context


def _configure(context: ssl.SSLContext, cfg: TlsSettings) -> None:
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    context.load_cert_chain(cfg.certificate, cfg.key)
