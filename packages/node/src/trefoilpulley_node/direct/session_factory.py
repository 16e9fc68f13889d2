"""Creation of the callers' sessions."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Success

from trefoilpulley_core.direct.caller_identity import identify_caller
from trefoilpulley_core.direct.customers import KeyDigest
from trefoilpulley_core.failure import NoUpstream
from trefoilpulley_core.failure import UnknownDatabase
from trefoilpulley_node.direct.caller_session import CallerSession
from trefoilpulley_node.direct.key_refusals import KeyRefusals

if TYPE_CHECKING:
    from trefoilpulley_core.clock import Clock
    from trefoilpulley_core.failure import Failure
    from trefoilpulley_node.direct.admission_exchange import AdmissionExchange
    from trefoilpulley_node.direct.commit_check import CommitCheck
    from trefoilpulley_node.direct.direct_metrics import DirectMetrics
    from trefoilpulley_node.direct.directory import GroupDirectory
    from trefoilpulley_node.direct.exchange import Exchanger
    from trefoilpulley_node.direct.primary_wait import PrimaryWait
    from trefoilpulley_node.direct.statement_runner import StatementRunner

CONFIGURATION_TIMEOUT_S = 1.5
"""Timeout of a new session for the first configuration, in seconds.

Callers give up a connection that sends no greeting within two seconds.
"""


class SessionFactory:
    """Creates the callers' sessions and holds the objects they share.

    Parameters
    ----------
    zone : str
        Availability zone of this host.
    directory : GroupDirectory
        Routes and groups.
    runner : StatementRunner
        Runs statements outside of transactions.
    exchanger : Exchanger
        Sends requests on connections.
    primary_wait : PrimaryWait
        Waits until a new primary is known.
    admissions : AdmissionExchange
        Admits the operations of customers with a limit.
    clock : Clock
        Monotonic time.
    metrics : DirectMetrics
        Counts requests.
    commits : CommitCheck
        Checks commits before they are acknowledged.
    """

    def __init__(
        self,
        zone: str,
        directory: GroupDirectory,
        runner: StatementRunner,
        exchanger: Exchanger,
        primary_wait: PrimaryWait,
        admissions: AdmissionExchange,
        clock: Clock,
        metrics: DirectMetrics,
        commits: CommitCheck,
    ) -> None:
        self.commits = commits
        self.metrics = metrics
        self.zone = zone
        self.directory = directory
        self.runner = runner
        self.exchanger = exchanger
        self.primary_wait = primary_wait
        self.admissions = admissions
        self.clock = clock
        self._refusals = KeyRefusals(metrics)

    def open(self, database: str, key: str = '') -> CallerSession:
        """Return a new session for a database name and a customer's key."""
        return CallerSession(self, database, key)

    def find_failure(self, database: str, key: str = '') -> Failure | None:
        """Return why no session can be opened, or ``None``.

        A host that has just started waits for its first configuration, since
        without it every database would be refused as unknown.

        Parameters
        ----------
        database : str
            Database name that the caller gave.
        key : str
            Key that the caller gave; empty for none.
        """
        if not self.directory.wait_loaded(CONFIGURATION_TIMEOUT_S):
            return NoUpstream('configuration is not loaded yet')
        if self.directory.find_route(database) is None:
            return UnknownDatabase(database)
        identity = identify_caller(
            self.directory.table, database, KeyDigest.of_key(key)
        )
        if isinstance(identity, Success):
            return None
        self._refusals.on_refused(database, self.clock.now())
        return identity.failure()
