"""Connections as defined by PEP 249."""

from __future__ import annotations

import random
from typing import Any
from typing import TYPE_CHECKING

from returns.result import Result
from returns.result import Success

from trefoilpulley_client.cursor import Cursor
from trefoilpulley_client.endpoints import parse_endpoint
from trefoilpulley_client.entry_link import EntryLink
from trefoilpulley_client import errors
from trefoilpulley_client.errors import to_error
from trefoilpulley_client.requester import Requester
from trefoilpulley_client.retry import RetryPolicy
from trefoilpulley_client.target import Target
from trefoilpulley_client.timer import SystemTimer
from trefoilpulley_client.transaction import begin_transaction
from trefoilpulley_client.transaction import Transaction
from trefoilpulley_client.websocket_transport import WebSocketDialer
from trefoilpulley_core.caller import Execute
from trefoilpulley_core.caller import Hello
from trefoilpulley_core.caller import LookUp

if TYPE_CHECKING:
    from collections.abc import Sequence
    import ssl

    from trefoilpulley_client.requester import FailedRequest
    from trefoilpulley_client.timer import Timer
    from trefoilpulley_client.transport import Dialer
    from trefoilpulley_core.caller import Answer
    from trefoilpulley_core.catalog import Endpoint
    from trefoilpulley_core.upstream import Parameter


class Connection:
    """Session of a tenant, served by any of the entry hosts.

    Use `connect` to create a connection. Threads may not share a connection.

    Parameters
    ----------
    link : EntryLink
        Network connection to an entry host.
    requester : Requester
        Sends the requests and retries them.
    target : Target
        Default class of work and database of cursors.
    token : bytes
        Token of an existing session to continue; empty for a new session.
    autocommit : bool
        Whether each statement runs on its own instead of in a transaction.
    """

    Warning = errors.Warning
    Error = errors.Error
    InterfaceError = errors.InterfaceError
    DatabaseError = errors.DatabaseError
    DataError = errors.DataError
    OperationalError = errors.OperationalError
    IntegrityError = errors.IntegrityError
    InternalError = errors.InternalError
    ProgrammingError = errors.ProgrammingError
    NotSupportedError = errors.NotSupportedError

    def __init__(
        self,
        link: EntryLink,
        requester: Requester,
        target: Target,
        token: bytes,
        autocommit: bool,
    ) -> None:
        self._link = link
        self._requester = requester
        self._target = target
        self._token = token
        self._autocommit = autocommit
        self._transaction: Transaction | None = None
        self._is_closed = False

    @property
    def token(self) -> bytes:
        """Latest token of the session.

        Another connection can continue the session with this token. The
        token of a new session is empty until a host has been reached.
        """
        return self._token or self._link.welcome_token

    @token.setter
    def token(self, token: bytes) -> None:
        self._require_no_transaction('the token')
        self._token = token

    @property
    def autocommit(self) -> bool:
        """Whether each statement runs on its own instead of in a transaction.

        The value cannot change while a transaction is open.
        """
        return self._autocommit

    @autocommit.setter
    def autocommit(self, autocommit: bool) -> None:
        self._require_no_transaction('autocommit')
        self._autocommit = autocommit

    @property
    def host(self) -> str:
        """Name of the entry host that was connected to last."""
        return self._link.host

    def cursor(self, work_class: str = '', database: str = '') -> Cursor:
        """Return a new cursor.

        Parameters
        ----------
        work_class : str
            Class of work; empty for the default of the connection.
        database : str
            Database; empty for the default of the connection.
        """
        self._require_open()
        target = Target(
            work_class or self._target.work_class,
            database or self._target.database,
        )
        return Cursor(self, target)

    def run(
        self,
        target: Target,
        sql: str,
        parameters: tuple[Parameter, ...],
        request_id: str = '',
    ) -> Answer:
        """Run a statement on behalf of a cursor.

        Parameters
        ----------
        target : Target
            Class of work and database of the statement.
        sql : str
            Statement with ``?`` for each parameter.
        parameters : tuple[Parameter, ...]
            Values of the parameters.
        request_id : str
            Request id chosen by the program; only allowed with autocommit.

        Returns
        -------
        Answer
            Answer of the host.
        """
        self._require_open()
        if self._autocommit:
            return self._run_autocommitted(target, sql, parameters, request_id)
        if request_id:
            raise errors.ProgrammingError(
                'a statement in a transaction cannot have its own request id'
            )
        return self._run_in_transaction(target, sql, parameters)

    def commit(self, request_id: str = '') -> None:
        """Commit the open transaction, if there is one.

        Parameters
        ----------
        request_id : str
            Request id under which the outcome can be looked up; a new one is
            generated if it is empty.
        """
        self._require_open()
        if self._transaction is None:
            return
        self._require_not_lost(self._transaction)
        transaction, self._transaction = self._transaction, None
        request_id = request_id or self._requester.make_request_id()
        self._accept_answer(transaction.commit(request_id))

    def rollback(self) -> None:
        """Roll back the open transaction, if there is one."""
        self._require_open()
        self._roll_back()

    def look_up(
        self, request_id: str, work_class: str = '', database: str = ''
    ) -> Answer:
        """Return the outcome of an earlier request.

        If the request has no outcome, it is abandoned: it will never run, and
        `NotRunError` is raised.

        Parameters
        ----------
        request_id : str
            Identifier of the earlier request.
        work_class : str
            Class of work of the request; empty for the default of the
            connection.
        database : str
            Database of the request; empty for the default of the connection.

        Returns
        -------
        Answer
            Answer that the request had or would have had.
        """
        self._require_open()
        req = LookUp(
            request_id,
            work_class or self._target.work_class,
            database or self._target.database,
            self.token,
        )
        return self._accept_answer(self._requester.look_up(req))

    def close(self) -> None:
        """Roll back the open transaction, if any, and close the connection."""
        if self._is_closed:
            return
        self._roll_back()
        self._is_closed = True
        self._link.close()

    def __enter__(self) -> Connection:
        self._require_open()
        return self

    def __exit__(self, kind: type | None, exc: Any, trace: Any) -> None:
        try:
            if kind is None:
                self.commit()
        finally:
            self.close()

    def _run_autocommitted(
        self,
        target: Target,
        sql: str,
        parameters: tuple[Parameter, ...],
        request_id: str,
    ) -> Answer:
        req = Execute(
            request_id or self._requester.make_request_id(),
            target.work_class,
            target.database,
            sql,
            parameters,
            self.token,
        )
        is_id_fixed = bool(request_id)
        return self._accept_answer(self._requester.execute(req, is_id_fixed))

    def _run_in_transaction(
        self, target: Target, sql: str, parameters: tuple[Parameter, ...]
    ) -> Answer:
        if self._transaction is None:
            self._transaction = _unwrap(
                begin_transaction(self._requester, target, self.token)
            )
        self._require_not_lost(self._transaction)
        if self._transaction.target != target:
            raise errors.ProgrammingError(
                'the open transaction has another class of work or database'
            )
        return self._accept_answer(self._transaction.run(sql, parameters))

    def _accept_answer(self, reply: Result[Answer, FailedRequest]) -> Answer:
        answer = _unwrap(reply)
        if answer.token:
            self._token = answer.token
        return answer

    def _roll_back(self) -> None:
        transaction, self._transaction = self._transaction, None
        if transaction is not None:
            transaction.roll_back()

    def _require_open(self) -> None:
        if self._is_closed:
            raise errors.ClosedError('the connection', code='closed')

    def _require_no_transaction(self, subject: str) -> None:
        self._require_open()
        if self._transaction is not None:
            raise errors.ProgrammingError(
                f'{subject} cannot change inside a transaction'
            )

    def _require_not_lost(self, transaction: Transaction) -> None:
        if transaction.is_lost:
            raise errors.TransactionLostError(
                'roll back before the next statement', code='transaction-lost'
            )


def connect(
    hosts: Sequence[str],
    tenant: str,
    secret: str,
    database: str,
    work_class: str,
    *,
    token: bytes = b'',
    autocommit: bool = False,
    retry: RetryPolicy | None = None,
    tls: ssl.SSLContext | None = None,
    dialer: Dialer | None = None,
    timer: Timer | None = None,
    rng: random.Random | None = None,
) -> Connection:
    """Connect to one of the entry hosts.

    Parameters
    ----------
    hosts : Sequence[str]
        Addresses of entry hosts as ``IP:PORT``; tried in random order.
    tenant : str
        Tenant that the caller belongs to.
    secret : str
        Secret of the tenant.
    database : str
        Default database of cursors.
    work_class : str
        Default class of work of cursors.
    token : bytes
        Token of an existing session to continue; empty for a new session.
    autocommit : bool
        Whether each statement runs on its own instead of in a transaction.
    retry : RetryPolicy, optional
        Limits of the retries.
    tls : ssl.SSLContext, optional
        TLS client context; plain TCP if omitted.
    dialer : Dialer, optional
        Replaces the WebSocket transport.
    timer : Timer, optional
        Replaces the system clock.
    rng : random.Random, optional
        Replaces the random source of request ids, retry delays and the order
        of the hosts.

    Returns
    -------
    Connection
        Open connection.

    Raises
    ------
    InterfaceError
        If an address is invalid or no address is given.
    Error
        If no host accepts the connection.
    """
    rng = rng or random.SystemRandom()
    link = EntryLink(
        _shuffle_hosts(hosts, rng),
        Hello(tenant, secret),
        dialer or WebSocketDialer(tls),
    )
    requester = Requester(
        link, retry or RetryPolicy(), timer or SystemTimer(), rng
    )
    _unwrap(requester.open())
    target = Target(work_class, database)
    return Connection(link, requester, target, token, autocommit)


def _shuffle_hosts(hosts: Sequence[str], rng: random.Random) -> list[Endpoint]:
    try:
        endpoints = [parse_endpoint(host) for host in hosts]
    except ValueError as exc:
        raise errors.InterfaceError(str(exc)) from exc
    if not endpoints:
        raise errors.InterfaceError('no entry host address was given')
    rng.shuffle(endpoints)
    return endpoints


def _unwrap(reply: Result[Any, FailedRequest]) -> Any:
    if isinstance(reply, Success):
        return reply.unwrap()
    failed_request = reply.failure()
    raise to_error(failed_request.refusal, failed_request.request_id)
