"""Steps on the store client and answers that it can't read."""

from __future__ import annotations

from typing import Any
from unittest import mock

from behave import given
from behave import then
from behave import when
import gevent
from gevent.event import Event
from gevent.lock import Semaphore
from gevent.pywsgi import WSGIServer

from trefoilpulley_core.catalog import Endpoint
from trefoilpulley_core.platform import PlatformAnswerLost
from trefoilpulley_node.direct.direct_metrics import DirectMetrics
from trefoilpulley_platform.json_client import JsonClient
from trefoilpulley_platform.kv_store import KvStore

BODIES = {
    'an object': b'{}',
    'a list': b'[1]',
    'a text': b'"text"',
    'nothing': b'',
    'deep nesting': b'[' * 100_000,
}
"""Bodies of the answers by their names in the scenarios."""


class UnreadableAnswerSteps:
    """Steps on answers that can't be read."""

    @staticmethod
    @given('a service that answers every call with {body}')
    def serve(context: Any, body: str) -> None:
        """Start an HTTP server that gives the same answer to every call."""

        def answer(environ: Any, start_response: Any) -> list[bytes]:
            start_response('200 OK', [('Content-Type', 'application/json')])
            return [BODIES[body]]

        server = WSGIServer(('127.0.0.1', 0), answer, log=None)
        server.start()
        context.cleanups.append(server.stop)
        endpoint = Endpoint('127.0.0.1', server.server_port)
        context.store = KvStore(endpoint, DirectMetrics())

    @staticmethod
    @then('each call of the store client fails as lost')
    def check_calls(context: Any) -> None:
        """Check that every call returns a typed failure."""
        store = context.store
        for result in (
            store.get_prefix(''),
            store.grant_lease(10),
            store.keep_alive(1),
            store.compare_and_swap('key', 0, b'value'),
        ):
            assert isinstance(result.failure(), PlatformAnswerLost), result

    @staticmethod
    @when('the store client starts a watch')
    def watch(context: Any) -> None:
        """Start a watch and collect its failures."""
        context.failures = []
        context.store.watch('', lambda entry: None, context.failures.append)

    @staticmethod
    @then('the watch reports a lost answer')
    def check_watch(context: Any) -> None:
        """Check that the watch has ended with a typed failure."""
        (failure,) = context.failures
        assert isinstance(failure, PlatformAnswerLost), failure


class _SlowConnection:
    """Connection in virtual time whose response never ends."""

    will_close = False

    def __init__(self, begins_after_s: float) -> None:
        self.now = 0.0
        self.sock = self
        self._begins_after_s = begins_after_s
        self._timeout_s = 0.0

    def monotonic(self) -> float:
        """Return the virtual time in seconds."""
        return self.now

    def settimeout(self, timeout_s: float) -> None:
        """Set the time limit of the next operations, in seconds."""
        self._timeout_s = timeout_s

    def connect(self) -> None:
        """Open the connection at once."""

    def setsockopt(self, *option: int) -> None:
        """Accept an option of the socket."""

    def close(self) -> None:
        """Close the connection."""

    def request(self, *request: Any) -> None:
        """Send a request at once."""

    def getresponse(self) -> _SlowConnection:
        """Return the begin of the response."""
        self.now += min(self._begins_after_s, self._timeout_s)
        return self

    def read(self) -> bytes:
        """Wait for the rest of the response, which never comes."""
        self.now += self._timeout_s
        raise TimeoutError


class BrokenResponseSteps:
    """Steps on a response that breaks off."""

    @staticmethod
    @given(
        'a response that begins {begin:g} s after its request and then '
        'breaks off'
    )
    def make_response(context: Any, begin: float) -> None:
        """Create a connection in virtual time."""
        context.conn = _SlowConnection(begin)

    @staticmethod
    @when('the store client makes a call with a time limit of {limit:g} s')
    def call(context: Any, limit: float) -> None:
        """Make a call on the connection."""
        client = JsonClient(Endpoint('127.0.0.1', 1))
        with (
            mock.patch('time.monotonic', context.conn.monotonic),
            mock.patch(
                'http.client.HTTPConnection', lambda *a, **kw: context.conn
            ),
        ):
            context.result = client.call('GET', '/', timeout_s=limit)

    @staticmethod
    @then('the call has failed as lost after {limit:g} s')
    def check_lost(context: Any, limit: float) -> None:
        """Check the failure and its time."""
        failure = context.result.failure()
        assert isinstance(failure, PlatformAnswerLost), failure
        assert context.conn.now == limit, context.conn.now


class SilentConnectionSteps:
    """Steps on idle connections that become silent."""

    @staticmethod
    @given(
        'two idle connections that become silent, and a service that is well'
    )
    def make_idle(context: Any) -> None:
        """Make two calls at once to a server, and silence its connections."""
        ports: set[str] = set()
        silenced, both, arrived = Event(), Event(), Semaphore(0)

        def answer(environ: Any, start_response: Any) -> list[bytes]:
            if environ['REMOTE_PORT'] in ports:
                silenced.wait()
            if len(ports) < 2:
                ports.add(environ['REMOTE_PORT'])
                arrived.release()
                both.wait()
            start_response('200 OK', [('Content-Length', '2')])
            return [b'{}']

        server = WSGIServer(('127.0.0.1', 0), answer, log=None)
        server.start()
        context.cleanups += [server.stop, silenced.set]
        endpoint = Endpoint('127.0.0.1', server.server_port)
        context.client = JsonClient(endpoint)
        calls = [gevent.spawn(context.client.call, 'GET', '/') for _ in 'ab']
        for _ in calls:
            arrived.acquire()
        both.set()
        gevent.joinall(calls)

    @staticmethod
    @when('the store client makes two calls')
    def make_calls(context: Any) -> None:
        """Make calls one after the other."""
        context.results = [
            context.client.call('GET', '/', timeout_s=limit_s)
            for limit_s in (0.1, 10.0)
        ]

    @staticmethod
    @then('the second call is answered')
    def check_answered(context: Any) -> None:
        """Check that only the first call is lost."""
        first, second = context.results
        assert isinstance(first.failure(), PlatformAnswerLost), first
        assert second.unwrap().status == 200, second
