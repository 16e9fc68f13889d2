"""Watches on keys over etcd's v3 JSON gateway."""

from __future__ import annotations

import json
from typing import Any
from typing import TYPE_CHECKING

import gevent
from gevent.event import Event
from requests import RequestException
from returns.result import Success

from trefoilpulley_core.entry_fields import DECODE_ERRORS
from trefoilpulley_core.platform import PlatformDown
from trefoilpulley_core.platform import Watch
from trefoilpulley_node.etcd_gateway import ANSWER_TIMEOUT_S
from trefoilpulley_node.etcd_gateway import CallKind
from trefoilpulley_node.etcd_values import decode_event
from trefoilpulley_node.etcd_values import prefix_range

if TYPE_CHECKING:
    from collections.abc import Callable

    from requests import Response

    from trefoilpulley_core.failure import Failure
    from trefoilpulley_core.platform import KeyValue
    from trefoilpulley_node.etcd_gateway import EtcdGateway


class EtcdWatch(Watch):
    """Watch on a key prefix that a separate greenlet reads.

    Parameters
    ----------
    gateway : EtcdGateway
        HTTP client of the service.
    prefix : str
        Prefix of the keys.
    on_change : Callable[[KeyValue], None]
        Called for each change.
    on_failure : Callable[[Failure], None]
        Called once when the watch fails.
    on_answer : Callable[[float], None], optional
        Called for each message of the service, with an age of 0.
    """

    def __init__(
        self,
        gateway: EtcdGateway,
        prefix: str,
        on_change: Callable[[KeyValue], None],
        on_failure: Callable[[Failure], None],
        on_answer: Callable[[float], None] | None = None,
    ) -> None:
        self._gateway = gateway
        self._prefix = prefix
        self._on_change = on_change
        self._on_failure = on_failure
        self._on_answer = on_answer
        self._created = Event()
        self._reader = gevent.spawn(self._run)

    def wait_created(self) -> None:
        """Wait until the service confirms the watch or the watch fails."""
        if self._created.wait(timeout=ANSWER_TIMEOUT_S):
            return
        self.cancel()
        self._on_failure(PlatformDown('watch was not confirmed in time'))

    def cancel(self) -> None:
        """Stop the watch."""
        self._reader.kill(block=False)

    def _run(self) -> None:
        failure = self._read_stream()
        self._created.set()
        self._on_failure(failure)

    def _read_stream(self) -> Failure:
        body = {'create_request': prefix_range(self._prefix)}
        opened = self._gateway.open_stream(CallKind.WATCH, 'watch', body)
        if not isinstance(opened, Success):
            return opened.failure()
        resp = opened.unwrap()
        try:
            return self._read_lines(resp)
        except (RequestException, OSError, *DECODE_ERRORS) as exc:
            return PlatformDown(type(exc).__name__)
        finally:
            resp.close()

    def _read_lines(self, resp: Response) -> Failure:
        for line in resp.iter_lines(chunk_size=None):
            result = json.loads(line).get('result', {})
            if result.get('canceled'):
                return PlatformDown('watch was cancelled by the service')
            self._on_result(result)
        return PlatformDown('watch stream ended')

    def _on_result(self, result: dict[str, Any]) -> None:
        if result.get('created'):
            self._created.set()
        for event in result.get('events', ()):
            self._on_change(decode_event(event))
        if self._on_answer is not None:
            self._on_answer(0.0)
