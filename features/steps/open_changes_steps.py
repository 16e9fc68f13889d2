"""Steps on orders of promotion that are left open."""

from __future__ import annotations

from typing import Any

from behave import then
from behave import when
import gevent

from features.fakes.asking import execute_once
from features.fakes.asking import wait_until
from trefoilpulley_node.direct.promotion_runner import MAX_ORDER_ATTEMPTS
from trefoilpulley_platform.promotion_client import PROMOTION_TIMEOUT_S


class LateOrderSteps:
    """Steps on the emulated promotion service."""

    @staticmethod
    @when(
        'orders of promotion get no answer and are carried out {late_s:d} s '
        'late'
    )
    def delay_orders(context: Any, late_s: int) -> None:
        """Let the promotion service answer nothing."""
        context.late_s = late_s
        context.deployment.promotion_server.late_s = late_s

    @staticmethod
    @when('orders of promotion are answered again')
    def answer_orders(context: Any) -> None:
        """Let the promotion service answer; late orders stay out."""
        context.deployment.promotion_server.late_s = None

    @staticmethod
    @when('a promotion has been ordered')
    def wait_ordered(context: Any) -> None:
        """Wait for the first order without an answer."""
        server = context.deployment.promotion_server
        wait_until(lambda: server.late_orders)

    @staticmethod
    @when('the order has been given up')
    def wait_given_up(context: Any) -> None:
        """Wait until the last attempt of the order has got no answer."""
        server = context.deployment.promotion_server
        wait_until(lambda: len(server.late_orders) >= MAX_ORDER_ATTEMPTS)
        gevent.sleep(PROMOTION_TIMEOUT_S)

    @staticmethod
    @when(
        'the replica that is not to be promoted is replaced by a member at '
        'its address'
    )
    def replace(context: Any) -> None:
        """Start a successor, which was never told to hold."""
        (ordered,) = set(context.deployment.promotion_server.late_orders)
        group = context.deployment.group
        (staying,) = set(group.servers) - {context.primary, ordered}
        group.announce_stop(staying)
        group.replace(staying, 'ledger-successor')

    @staticmethod
    @when('the late orders have been carried out')
    def wait_carried_out(context: Any) -> None:
        """Wait until the last of them can have had its effect."""
        gevent.sleep(context.late_s + 0.5)

    @staticmethod
    @then('a write is acknowledged without another primary')
    def check_write(context: Any) -> None:
        """Wait for a write at the old primary."""
        wait_until(
            lambda: (
                execute_once(context, 'orders', 0, 'WRITE k later').code
                == 'DONE'
            )
        )
        LateOrderSteps.check_primary(context)

    @staticmethod
    @then('the primary leads as before')
    def check_primary(context: Any) -> None:
        """Compare the primary with the first one."""
        primary = context.deployment.group.primary.state.member
        assert primary == context.primary, primary


class HeldReplicaSteps:
    """Steps on replicas that have been told to hold."""

    @staticmethod
    @when('the promotion service is down')
    def stop_service(context: Any) -> None:
        """Let no order reach the promotion service."""
        context.deployment.promotion_server.stop()

    @staticmethod
    @when('the replicas have been told to hold')
    def wait_held(context: Any) -> None:
        """Wait for HOLD at each replica."""
        servers = context.deployment.group.servers
        replicas = [s for m, s in servers.items() if m != context.primary]
        wait_until(
            lambda: all(
                any(t.startswith('HOLD') for _, t in r.received_requests)
                for r in replicas
            )
        )

    @staticmethod
    @when('the other replica holds for a term that nobody will lead')
    def hold_other(context: Any) -> None:
        """Leave a replica as a host that is gone would."""
        state = context.deployment.group.servers[context.other].state
        state.held_term = state.term + 1

    @staticmethod
    @then('no promotion has been ordered')
    def check_orders(context: Any) -> None:
        """Check that the platform was not asked."""
        assert not context.deployment.promotion_server.requests


class StartedHostSteps:
    """Steps on a host that starts while a change is open."""

    @staticmethod
    @when('a host joins the others')
    def start(context: Any) -> None:
        """Start a host that has not seen how the change began."""
        context.newcomer = context.deployment.add_host().name

    @staticmethod
    @then('the new host has ordered no promotion {wait_s:d} s after its start')
    def check_newcomer(context: Any, wait_s: int) -> None:
        """Compare the hosts whose orders the service has received."""
        gevent.sleep(wait_s)
        orders = context.deployment.promotion_server.received
        assert context.newcomer not in {o.holder for o in orders}, orders
