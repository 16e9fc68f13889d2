"""Text of a route report."""

from __future__ import annotations

from typing import Any


def format_report(report: dict[str, Any]) -> list[str]:
    """Return the lines that describe where a request would be sent.

    Parameters
    ----------
    report : dict[str, Any]
        Report of a host, a `RouteReport` in JSON.
    """
    lines = [_format_verdict(report)]
    lines.append(
        f'host: {report["host"]} in {report["zone"]}, '
        f'configuration {report["configuration"]}'
    )
    if (route := report['route']) is not None:
        lines.append(
            f'route: {route["database"]}, group {route["group"]}, '
            f'{route["freshness"]} (age {route["max_age_ms"]:g} ms), '
            f'goal {route["goal_ms"]:g} ms, '
            f'timeout {route["timeout_ms"]:g} ms, '
            f'priority {route["priority"]}'
        )
    if report['customer'] is not None:
        lines.append(f'customer: {report["customer"]}')
    if (limit := report['limit']) is not None:
        lines.append(_format_limit(limit))
    if (group := report['group']) is not None:
        lines.append(_format_group(group))
    lines += [_format_member(m) for m in report['members']]
    lines += [_format_path(p) for p in report['paths']]
    return lines


def _format_verdict(report: dict[str, Any]) -> str:
    verdict = report['verdict']
    if (refusal := report['refusal']) is not None:
        retry = 'no time to retry is known'
        if refusal['retry_ms'] is not None:
            retry = f'again after {refusal["retry_ms"]:g} ms'
        return (
            f'{verdict}: {refusal["reason"]} '
            f'({refusal["code"]}: {refusal["detail"]}; {retry})'
        )
    if report['waits_ms'] is not None:
        return f'{verdict}: at most {report["waits_ms"]:g} ms'
    return f'{verdict}: {report["member"]} ({", ".join(report["reasons"])})'


def _format_limit(limit: dict[str, Any]) -> str:
    left = 'not known here'
    if limit['left'] is not None:
        left = f'{limit["left"]:g}'
    asked = ', which is asked first' if limit['is_owner_asked'] else ''
    return (
        f'limit: {limit["rate_per_s"]:g}/s, burst {limit["burst"]:g}, '
        f'left {left}, owner {limit["owner"]}{asked}'
    )


def _format_group(group: dict[str, Any]) -> str:
    parts = [f'primary {group["primary"]}']
    if group['is_primary_lost']:
        parts.append('lost')
    if group['primary_expected_ms'] is not None:
        parts.append(f'expected in {group["primary_expected_ms"]:g} ms')
    for name in ('evidence', 'floor'):
        if (at := group[name]) is not None:
            parts.append(f'{name} {at["position"]} ({at["age_ms"]:g} ms)')
        else:
            parts.append(f'no {name}')
    return f'group: {", ".join(parts)}'


def _format_member(member: dict[str, Any]) -> str:
    cost = member['cost']
    marker = '*' if member['is_chosen'] else ' '
    parts = [
        f'{marker} {member["member"]}: {member["role"]} in {member["zone"]}',
        f'cost {cost["total_ms"]:g} ms = ({cost["expected_ms"]:g} x '
        f'(1 + {cost["in_flight"]}/2) + {cost["failures_ms"]:g} failures '
        f'+ {cost["zone_ms"]:g} zone + {cost["avoidance_ms"]:g} refusals) '
        f'x {cost["factor"]:g} + {cost["lag_ms"]:g} lag',
        f'at {member["position"]}, lag {member["lag_ms"]:g} ms',
    ]
    if member['obstacle'] is not None:
        parts.append(f'not eligible: {member["obstacle"]}')
    if member['may_lack_floor']:
        parts.append('may lack the floor')
    if member['avoided_ms']:
        parts.append(f'avoided for {member["avoided_ms"]:g} ms')
    if member['pace'] < 1:
        passed = ', passed over' if member['is_passed_over'] else ''
        parts.append(f'pace {member["pace"]:g}{passed}')
    return '; '.join(parts)


def _format_path(path: dict[str, Any]) -> str:
    parts = [f'path to {path["member"]}: {path["step"]}']
    if path['is_cut_off']:
        parts.append('this host does not reach the member')
    for holder in path['holders']:
        notes = []
        if holder['is_passed_over']:
            notes.append('passed over')
        if holder['failure'] is not None:
            notes.append(holder['failure'])
        if not holder['is_tried']:
            notes.append('not tried')
        note = f' ({", ".join(notes)})' if notes else ''
        parts.append(f'{holder["host"]}{note}')
    if (queue := path['queue']) is not None:
        wait = 'no wait'
        if queue['expected_wait_ms'] is not None:
            wait = f'expected wait {queue["expected_wait_ms"]:g} ms'
        parts.append(
            f'{queue["length"]} in the queue, {wait} '
            f'(allowed {queue["allowed_wait_ms"]:g} ms)'
        )
    return '; '.join(parts)
