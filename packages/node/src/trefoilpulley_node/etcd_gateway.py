"""HTTP client of etcd's v3 JSON gateway."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from enum import auto
from enum import Enum
from typing import Any
from typing import TYPE_CHECKING

import requests
from requests.adapters import HTTPAdapter
from returns.result import Failure as Failed
from returns.result import Result
from returns.result import Success
from urllib3.exceptions import NewConnectionError

from trefoilpulley_core.failure import Failure
from trefoilpulley_core.platform import LeaseExpired
from trefoilpulley_core.platform import PlatformAnswerLost
from trefoilpulley_core.platform import PlatformDown

if TYPE_CHECKING:
    from collections.abc import Mapping

CONNECT_TIMEOUT_S = 0.5
"""Longest wait for a connection to the service, in seconds."""

ANSWER_TIMEOUT_S = 1.0
"""Longest wait for an answer, in seconds."""

MAX_IDLE_CONNECTIONS = 8
"""Number of idle connections that are kept open."""

LEASE_NOT_FOUND_CODE = 5
"""gRPC status code of a call on an expired lease (``NOT_FOUND``)."""


class CallKind(Enum):
    """Kinds of calls to the service, which are counted separately."""

    READ = auto()
    WRITE = auto()
    LEASE = auto()
    WATCH = auto()


@dataclass(frozen=True, slots=True)
class CallCounts:
    """Numbers of calls to the service since the process started."""

    reads: int = 0
    """Range calls."""

    writes: int = 0
    """Transactions."""

    leases: int = 0
    """Grants, renewals and revocations."""

    watches: int = 0
    """Watches started."""

    failures: int = 0
    """Calls of any kind without an answer."""


_COUNTED_FIELDS = {
    CallKind.READ: 'reads',
    CallKind.WRITE: 'writes',
    CallKind.LEASE: 'leases',
    CallKind.WATCH: 'watches',
}


class EtcdGateway:
    """Client of the gateway at one address.

    Parameters
    ----------
    url : str
        Base address, such as ``http://10.0.0.5:2379``.
    connect_timeout_s : float
        Longest wait for a connection, in seconds.
    answer_timeout_s : float
        Longest wait for an answer, in seconds.
    """

    def __init__(
        self,
        url: str,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        answer_timeout_s: float = ANSWER_TIMEOUT_S,
    ) -> None:
        self._url = url.rstrip('/')
        self._connect_timeout_s = connect_timeout_s
        self._answer_timeout_s = answer_timeout_s
        self._session = _open_session()
        self._streams = _open_session()
        self.counts = CallCounts()
        """Numbers of calls since the process started."""

    def call(
        self, kind: CallKind, path: str, body: Mapping[str, Any]
    ) -> Result[dict[str, Any], Failure]:
        """Send a call and return the JSON document of its answer.

        Parameters
        ----------
        kind : CallKind
            Kind under which the call is counted.
        path : str
            Path under ``/v3/``.
        body : Mapping[str, Any]
            JSON document of the request.

        Returns
        -------
        Result[dict[str, Any], Failure]
            The document, `PlatformDown` if the call had no effect, or
            `PlatformAnswerLost` if the call may have had an effect.
        """
        self._count(kind)
        timeout = (self._connect_timeout_s, self._answer_timeout_s)
        try:
            resp = self._session.post(
                f'{self._url}/v3/{path}', json=body, timeout=timeout
            )
            document = resp.json()
        except (requests.RequestException, OSError) as exc:
            return self._count_failure(classify_exception(kind, exc))
        if resp.ok:
            return Success(document)
        return self._count_failure(classify_refusal(kind, document))

    def open_stream(
        self, kind: CallKind, path: str, body: Mapping[str, Any]
    ) -> Result[requests.Response, Failure]:
        """Send a call whose answer is a stream of JSON lines.

        The response has no read timeout and must be closed by the caller.
        """
        self._count(kind)
        try:
            resp = self._streams.post(
                f'{self._url}/v3/{path}',
                json=body,
                stream=True,
                timeout=(self._connect_timeout_s, None),
            )
        except (requests.RequestException, OSError) as exc:
            return self._count_failure(classify_exception(kind, exc))
        if resp.ok:
            return Success(resp)
        resp.close()
        return self._count_failure(PlatformDown(f'status {resp.status_code}'))

    def close(self) -> None:
        """Close the idle connections."""
        self._session.close()
        self._streams.close()

    def _count(self, kind: CallKind) -> None:
        self._add_one(_COUNTED_FIELDS[kind])

    def _add_one(self, field: str) -> None:
        value = getattr(self.counts, field) + 1
        self.counts = replace(self.counts, **{field: value})

    def _count_failure(self, failure: Failure) -> Failed:
        self._add_one('failures')
        return Failed(failure)


def classify_exception(kind: CallKind, exc: Exception) -> Failure:
    """Return the failure of a call that raised an exception.

    A read or a watch has no effects and can always be repeated. Any
    other call certainly had no effect only if the connection was never
    established.
    """
    detail = type(exc).__name__
    if kind in (CallKind.READ, CallKind.WATCH) or _is_unsent(exc):
        return PlatformDown(detail)
    return PlatformAnswerLost(detail)


def classify_refusal(kind: CallKind, document: Any) -> Failure:
    """Return the failure of a call that the service answered with an error."""
    fields = document if isinstance(document, dict) else {}
    detail = str(fields.get('message', fields.get('error', '')))
    if fields.get('code') == LEASE_NOT_FOUND_CODE:
        return LeaseExpired(detail)
    if kind in (CallKind.READ, CallKind.WATCH):
        return PlatformDown(detail)
    return PlatformAnswerLost(detail)


def _is_unsent(exc: Exception) -> bool:
    if isinstance(exc, requests.ConnectTimeout):
        return True
    cause = exc.args[0] if exc.args else None
    return isinstance(getattr(cause, 'reason', None), NewConnectionError)


def _open_session() -> requests.Session:
    session = requests.Session()
    session.trust_env = False
    adapter = HTTPAdapter(pool_maxsize=MAX_IDLE_CONNECTIONS)
    session.mount('http://', adapter)
    session.mount('https://', adapter)
    return session
