"""Steps for TLS between processes."""

from __future__ import annotations

from pathlib import Path
import tempfile
from typing import Any

from behave import given
from behave import then
from behave import when
from gevent import ssl
from returns.result import Success
import trustme

from trefoilpulley_core.catalog import Endpoint
from trefoilpulley_core.peer import PeerHello
from trefoilpulley_core.peer import PeerWelcome
from trefoilpulley_node.peer_server import PeerServer
from trefoilpulley_node.settings import TlsSettings
from trefoilpulley_node.tls import make_peer_client_context
from trefoilpulley_node.tls import make_peer_server_context
from trefoilpulley_wire.dial import dial
from trefoilpulley_wire.listener import Listener
from trefoilpulley_wire.peer_codec import PEER_CODEC

ADDRESS = '127.0.0.1'


def _issue_certificate(
    authority: trustme.CA, folder: Path, name: str
) -> TlsSettings:
    issued = authority.issue_cert(ADDRESS)
    issued.private_key_and_cert_chain_pem.write_to_path(folder / name)
    authority.cert_pem.write_to_path(folder / f'{name}.ca')
    path = str(folder / name)
    return TlsSettings(path, path, f'{path}.ca')


def _make_anonymous_context(cfg: TlsSettings) -> ssl.SSLContext:
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.load_verify_locations(cfg.authorities)
    return context


class TlsSteps:
    """Steps that connect to a host's peer port over loopback."""

    @staticmethod
    @given("a host's peer port with TLS")
    def listen(context: Any) -> None:
        """Listen with a certificate of the same authority as the peer's."""
        TlsSteps._make_certificates(context)
        TlsSteps._listen(context, context.host_cfg)

    @staticmethod
    @given("a host's peer port with a TLS certificate of another authority")
    def listen_with_other_authority(context: Any) -> None:
        """Listen with a certificate of another authority."""
        TlsSteps._make_certificates(context)
        TlsSteps._listen(context, context.other_authority_cfg)

    @staticmethod
    @when('a peer {with_what} connects to the port')
    def connect(context: Any, with_what: str) -> None:
        """Connect and send the greeting."""
        contexts = {
            'without TLS': None,
            'without a certificate': _make_anonymous_context(context.peer_cfg),
            'with a certificate of another authority': (
                make_peer_client_context(
                    TlsSettings(
                        context.other_authority_cfg.certificate,
                        context.other_authority_cfg.key,
                        context.peer_cfg.authorities,
                    )
                )
            ),
            'with a certificate of the same authority': (
                make_peer_client_context(context.peer_cfg)
            ),
        }
        hello = PeerHello('host-2', 'zone', 1, 'secret')
        channel_result = dial(
            Endpoint(ADDRESS, context.port),
            PEER_CODEC,
            tls=contexts[with_what],
        )
        context.reply = channel_result.bind(
            lambda channel: channel.call(hello)
        )

    @staticmethod
    @then('the greeting over TLS is answered')
    def check_answered(context: Any) -> None:
        """Check that the reply is the host's welcome."""
        assert isinstance(context.reply, Success), context.reply
        assert isinstance(context.reply.unwrap(), PeerWelcome)

    @staticmethod
    @then('the greeting over TLS fails as "{code}"')
    def check_failed(context: Any, code: str) -> None:
        """Compare the failure code."""
        assert not isinstance(context.reply, Success), context.reply
        assert context.reply.failure().code == code

    @staticmethod
    def _make_certificates(context: Any) -> None:
        folder = tempfile.TemporaryDirectory()
        context.cleanups.append(folder.cleanup)
        common, other = trustme.CA(), trustme.CA()
        path = Path(folder.name)
        context.host_cfg = _issue_certificate(common, path, 'host')
        context.peer_cfg = _issue_certificate(common, path, 'peer')
        context.other_authority_cfg = _issue_certificate(
            other, path, 'foreign'
        )

    @staticmethod
    def _listen(context: Any, cfg: TlsSettings) -> None:
        listener = Listener(
            Endpoint(ADDRESS, 0),
            PEER_CODEC,
            PeerServer('host-1', 1, 'secret'),
            make_peer_server_context(cfg),
        )
        listener.start()
        context.cleanups.append(listener.stop)
        context.port = listener.port
