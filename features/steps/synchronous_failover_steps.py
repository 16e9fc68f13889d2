"""Steps for the failover of groups with synchronous replicas."""

from __future__ import annotations

from typing import Any

from behave import given
from behave import then
from behave import when
import eliot
import gevent

from features.fakes.asking import execute_once
from features.fakes.asking import wait_until
from trefoilpulley_emulator.deployment import DATABASES
from trefoilpulley_emulator.deployment import EmulatedDeployment
from trefoilpulley_node.direct.primary_changer import FAILOVER_BACKOFF_S
from trefoilpulley_node.direct.roster_keeper import UPDATE_INTERVAL_S
from trefoilpulley_node import events

ZONES = ('north', 'south', 'east', 'west')
"""Availability zones of the members."""

HOST_COUNT = 3


class SynchronousGroupSteps:
    """Steps that change the members of an emulated group."""

    @staticmethod
    @given(
        'a group of {count:d} members of which {required:d} must confirm a '
        'commit'
    )
    def start_group(context: Any, count: int, required: int) -> None:
        """Start a deployment and wait until every host serves writes."""
        context.deployment = EmulatedDeployment(
            HOST_COUNT, zones=ZONES[:count], synchronous_replicas=required
        )
        context.cleanups.append(context.deployment.stop)
        context.deployment.start()
        group = context.deployment.group
        context.primary = group.primary.state.member
        names = [m for m in group.servers if m != context.primary]
        context.other, context.last = names[0], names[-1]
        context.logged = []
        eliot.add_destinations(context.logged.append)
        context.cleanups.append(
            lambda: eliot.remove_destination(context.logged.append)
        )
        for host in range(HOST_COUNT):
            wait_until(lambda host=host: _is_writable(context, host))

    @staticmethod
    @when('the last replica receives nothing')
    def deafen(context: Any) -> None:
        """Let no record reach the last replica."""
        context.deployment.group.servers[context.last].state.is_deaf = True

    @staticmethod
    @when('the last replica receives again')
    def undeafen(context: Any) -> None:
        """Let records reach the last replica."""
        context.deployment.group.servers[context.last].state.is_deaf = False

    @staticmethod
    @when('{count:d} writes are acknowledged')
    def write(context: Any, count: int) -> None:
        """Make commits that a replica confirms."""
        for number in range(count):
            text = f'WRITE k before.{number}'
            answer = execute_once(context, 'orders', 0, text)
            assert answer.code == 'DONE', answer

    @staticmethod
    @when('the other replica is lost for good')
    @when('the other replica crashes')
    def lose_other(context: Any) -> None:
        """Stop the replica that has confirmed the commits."""
        context.deployment.group.crash(context.other)

    @staticmethod
    @when('the last replica is lost for good')
    def lose_last(context: Any) -> None:
        """Stop the last replica."""
        context.deployment.group.crash(context.last)

    @staticmethod
    @when('the successor is lost for good')
    def lose_successor(context: Any) -> None:
        """Stop the successor and let its entry expire."""
        context.deployment.group.crash(context.successor)
        context.deployment.group.expire(context.successor)

    @staticmethod
    @when('the entries of the crashed members expire')
    def expire(context: Any) -> None:
        """Remove the entries of all members that have stopped."""
        group = context.deployment.group
        for member, server in group.servers.items():
            if not server.state.is_running:
                group.expire(member)

    @staticmethod
    @when('the other replica is replaced by a member at its address')
    def replace(context: Any) -> None:
        """Let the replica announce its stop, and start its successor."""
        group = context.deployment.group
        group.announce_stop(context.other)
        wait_until(
            lambda: all(
                any(m.is_leaving for m in roster.members)
                for roster in _rosters(context)
            )
        )
        context.successor = 'ledger-successor'
        group.replace(context.other, context.successor)

    @staticmethod
    @when('the other replica comes back with its log')
    def return_other(context: Any) -> None:
        """Start the replica, which finds no primary to follow."""
        group = context.deployment.group
        group.servers[context.other].start()
        group.publish_member(context.other)

    @staticmethod
    @when('the primary comes back')
    def return_primary(context: Any) -> None:
        """Start the primary with its log; it leads as before."""
        group = context.deployment.group
        group.servers[context.primary].start()
        group.publish_member(context.primary)

    @staticmethod
    @when('the configuration requires {count:d} replicas to confirm')
    def configure(context: Any, count: int) -> None:
        """Write a configuration with other synchronous replicas."""
        deployment = context.deployment
        deployment.synchronous_replicas = count
        deployment.configure(dict(DATABASES))

    @staticmethod
    @when('every host is replaced by one that has just started')
    def replace_hosts(context: Any) -> None:
        """Stop all hosts and start others."""
        deployment = context.deployment
        for host in tuple(deployment.hosts):
            host.stop()
            deployment.hosts.remove(host)
        context.deployment.add_host()


class SynchronousOutcomeSteps:
    """Steps on what the hosts count and do."""

    @staticmethod
    @when('its entry expires and the hosts no longer count it')
    def wait_uncounted(context: Any) -> None:
        """Wait until the rosters lack the last replica."""
        group = context.deployment.group
        group.expire(context.last)
        _wait_counted(context, set(group.servers) - {context.last})

    @staticmethod
    @when('the hosts have stored which members count')
    def wait_stored(context: Any) -> None:
        """Wait until the rosters have all members."""
        _wait_counted(context, set(context.deployment.group.servers))

    @staticmethod
    @then('the state dump names the members that count and the floor')
    def check_dump(context: Any) -> None:
        """Read the state of a host."""
        (group,) = context.deployment.hosts[0].proxy.dump().groups
        members = context.deployment.group.servers
        assert set(group.confirming_members) == set(members), group
        assert group.commit_floor is not None

    @staticmethod
    @when('the entry of the last replica is removed while it runs on')
    def remove_entry(context: Any) -> None:
        """Remove the entry of a member that goes on confirming."""
        context.deployment.group.expire(context.last)

    @staticmethod
    @when('the hosts have no access to it any more')
    def wait_dropped(context: Any) -> None:
        """Wait until every host has dropped the member."""
        hosts = context.deployment.hosts
        wait_until(
            lambda: all(
                context.last
                not in host.proxy.directory.groups['ledger'].accesses
                for host in hosts
            )
        )

    @staticmethod
    @then('the hosts still count it')
    def check_counted(context: Any) -> None:
        """Compare the rosters after some more checks."""
        gevent.sleep(5 * UPDATE_INTERVAL_S)
        for roster in _rosters(context):
            assert context.last in roster.names, roster

    @staticmethod
    @when('the hosts count the successor')
    def wait_succeeded(context: Any) -> None:
        """Wait until the successor stands for the member that has left."""
        _wait_counted(
            context, {context.primary, context.last, context.successor}
        )

    @staticmethod
    @then('no member is promoted while the hosts know the last replica alone')
    def check_not_promoted(context: Any) -> None:
        """Let every host decide with the last replica alone."""
        deployment = context.deployment
        for host in deployment.hosts:
            groups = host.proxy.directory.groups
            wait_until(
                lambda g=groups: (
                    'ledger' in g
                    and list(g['ledger'].accesses) == [context.last]
                )
            )
            for _ in range(2):
                gevent.sleep(FAILOVER_BACKOFF_S)
                host.proxy.changer.fail_over(groups['ledger'], None)
        assert not deployment.promotion_server.requests

    @staticmethod
    @then('the hosts name the members that they miss')
    def check_event(context: Any) -> None:
        """Find the judgement in the log."""
        missed = {context.primary, context.other}
        name = events.COMMITS_JUDGED.name
        judgements = [m for m in context.logged if m.get('event') == name]
        assert set(judgements[-1]['missed']) == missed, judgements
        assert judgements[-1]['needed'] == 1, judgements

    @staticmethod
    @then('a write is acknowledged without a promotion')
    def check_write(context: Any) -> None:
        """Wait for a write; no promotion may have been requested."""
        wait_until(lambda: _is_writable(context))
        assert not context.deployment.promotion_server.requests

    @staticmethod
    @then('a write is acknowledged after a promotion')
    def check_failover(context: Any) -> None:
        """Wait for a write at another primary."""
        wait_until(lambda: _is_writable(context))
        primary = context.deployment.group.primary.state.member
        assert primary != context.primary, primary

    @staticmethod
    @then('every acknowledged commit is still there')
    def check_kept(context: Any) -> None:
        """Compare the primary's log with the confirmed commits."""
        log = context.deployment.group.log
        assert not log.lost_commits, log.lost_commits
        assert log.confirmed
        kept = {id(r) for r in log.primary.log}
        assert all(id(r) in kept for r in log.confirmed), log.confirmed


def _is_writable(context: Any, host: int = 0) -> bool:
    answer = execute_once(context, 'orders', host, 'WRITE k later')
    return answer.code == 'DONE'


def _rosters(context: Any) -> list[Any]:
    return [
        host.proxy.find_roster('ledger') for host in context.deployment.hosts
    ]


def _wait_counted(context: Any, members: set[str]) -> None:
    """Wait until every host has the roster with just these members."""
    wait_until(
        lambda: all(
            roster is not None
            and roster.version
            and set(roster.names) == members
            for roster in _rosters(context)
        )
    )
