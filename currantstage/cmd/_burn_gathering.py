"""Collect the request counts of all entry VMs for the burn report."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from currantstage.coordination.requests import compute_budget_burns
from currantstage.protocol import (
    BurnReport,
    Members,
    MissingMember,
    RespondingMember,
    ServiceLevelReport,
)
from currantstage.state import Fleet
from currantstage.transport import OperatorCallError, OperatorClient

#: Timeout of the queries to one entry VM, in seconds.
ANSWER_TIMEOUT_S = 5.0


@dataclass(frozen=True, slots=True)
class _Reply:
    url: str
    report: ServiceLevelReport | None = None
    fleet: Fleet | None = None
    members: Members | None = None
    reason: str = ""


async def gather_burn(servers: tuple[str, ...], key: str) -> BurnReport:
    """Query `servers` and every entry VM that they list as a member.

    Raises `OperatorCallError` if no entry VM answers.
    """
    replies = await _query_all(servers, key)
    members = {
        f"http://{member.http_address}"
        for reply in replies
        if reply.members is not None
        for member in reply.members.members
    }
    queried = {_member_url(reply) or reply.url for reply in replies}
    replies += await _query_all(tuple(sorted(members - queried)), key)
    if not any(reply.report for reply in replies):
        raise OperatorCallError("; ".join(reply.reason for reply in replies))
    return _to_report(replies)


async def _query_all(urls: tuple[str, ...], key: str) -> list[_Reply]:
    return list(await asyncio.gather(*(_query(url, key) for url in urls)))


async def _query(url: str, key: str) -> _Reply:
    try:
        async with (
            asyncio.timeout(ANSWER_TIMEOUT_S),
            OperatorClient(url, key) as client,
        ):
            report = await client.service_levels()
            fleet = await client.fleet()
            return _Reply(url, report, fleet, await _fetch_members(client))
    except TimeoutError:
        return _Reply(url, reason=f"{url}: no answer in {ANSWER_TIMEOUT_S:g} s")
    except OperatorCallError as error:
        return _Reply(url, reason=str(error))


async def _fetch_members(client: OperatorClient) -> Members | None:
    """Return the entry VMs, or None while the platform's table is unavailable."""
    try:
        return await client.members()
    except OperatorCallError:
        return None


def _member_url(reply: _Reply) -> str | None:
    """Return the address in the member row of the entry VM that answered.

    The address that was queried may be the load balancer's.
    """
    if reply.report is None or reply.members is None:
        return None
    for member in reply.members.members:
        if member.incarnation == reply.report.incarnation:
            return f"http://{member.http_address}"
    return None


def _to_report(replies: list[_Reply]) -> BurnReport:
    reports = {
        reply.report.incarnation: reply.report
        for reply in replies
        if reply.report is not None
    }
    fleets = [reply.fleet for reply in replies if reply.fleet is not None]
    fleet = max(fleets, key=lambda each: each.generation)
    series = [each for report in reports.values() for each in report.series]
    return BurnReport(
        generation=fleet.generation,
        are_members_known=any(reply.members is not None for reply in replies),
        answered=tuple(
            RespondingMember(
                entry_vm=report.entry_vm,
                covered_s=report.covered_s,
                uncounted=report.uncounted,
            )
            for report in reports.values()
        ),
        silent=tuple(
            MissingMember(address=reply.url, reason=reply.reason)
            for reply in replies
            if reply.report is None
        ),
        budgets=tuple(compute_budget_burns(series, fleet.queues)),
    )
