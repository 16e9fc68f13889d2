"""Steps on TLS between processes."""

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


def _issue(authority: trustme.CA, folder: Path, name: str) -> TlsSettings:
    issued = authority.issue_cert(ADDRESS)
    issued.private_key_and_cert_chain_pem.write_to_path(folder / name)
    authority.cert_pem.write_to_path(folder / f'{name}.ca')
    path = str(folder / name)
    return TlsSettings(path, path, f'{path}.ca')


def _anonymous_context(cfg: TlsSettings) -> ssl.SSLContext:
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.load_verify_locations(cfg.authorities)
    return context


class TlsSteps:
    """Calls a host's peer port over loopback."""

    @staticmethod
    @given("a host's peer port with TLS")
    def listen(context: Any) -> None:
        """Listen with a certificate of the common authority."""
        TlsSteps._make_certificates(context)
        TlsSteps._listen(context, context.host_cfg)

    @staticmethod
    @given("a host's peer port with TLS of another authority")
    def listen_foreign(context: Any) -> None:
        """Listen with a certificate of another authority."""
        TlsSteps._make_certificates(context)
        TlsSteps._listen(context, context.foreign_cfg)

    @staticmethod
    @when('a peer {with_what} calls it')
    def call(context: Any, with_what: str) -> None:
        """Dial and greet."""
        contexts = {
            'without TLS': None,
            'without a certificate': _anonymous_context(context.peer_cfg),
            'with a certificate of another authority': (
                make_peer_client_context(
                    TlsSettings(
                        context.foreign_cfg.certificate,
                        context.foreign_cfg.key,
                        context.peer_cfg.authorities,
                    )
                )
            ),
            'with a certificate of the same authority': (
                make_peer_client_context(context.peer_cfg)
            ),
        }
        hello = PeerHello('host-2', 'zone', 1, 'secret')
        dialled = dial(
            Endpoint(ADDRESS, context.port),
            PEER_CODEC,
            tls=contexts[with_what],
        )
        context.reply = dialled.bind(lambda channel: channel.call(hello))

    @staticmethod
    @then('the TLS call is answered')
    def check_answered(context: Any) -> None:
        """Expect the host's welcome."""
        assert isinstance(context.reply, Success), context.reply
        assert isinstance(context.reply.unwrap(), PeerWelcome)

    @staticmethod
    @then('the TLS call fails as "{code}"')
    def check_failed(context: Any, code: str) -> None:
        """Expect no answer."""
        assert not isinstance(context.reply, Success), context.reply
        assert context.reply.failure().code == code

    @staticmethod
    def _make_certificates(context: Any) -> None:
        folder = tempfile.TemporaryDirectory()
        context.cleanups.append(folder.cleanup)
        common, other = trustme.CA(), trustme.CA()
        path = Path(folder.name)
        context.host_cfg = _issue(common, path, 'host')
        context.peer_cfg = _issue(common, path, 'peer')
        context.foreign_cfg = _issue(other, path, 'foreign')

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
