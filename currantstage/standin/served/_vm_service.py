"""HTTP interface of the service for VMs, on the simulated VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from aiohttp import web
from msgspec import Struct

from currantstage.platform.messages import (
    ORDER_REASONS,
    TERM_HEADER,
    WireMachine,
    WireMove,
    WireResources,
    WireUpkeep,
)
from currantstage.standin.served._listener import PREFIX
from currantstage.standin.served._store_service import json_response
from currantstage.state import PoolId, VmId
from currantstage.state.jobs import Term, VmOrderOutcome

if TYPE_CHECKING:
    from collections.abc import Collection

    from currantstage.standin.jobs import SimulatedVms
    from currantstage.state.jobs import VmRecord

#: Maximum number of VMs on one page of the list.
PAGE_VMS = 10

_REASON_OF_REFUSAL = {outcome: reason for reason, outcome in ORDER_REASONS.items()}


class _Page(Struct, rename="pascal"):
    machines: list[WireMachine]
    next_token: str | None


class _Refusal(Struct, rename="pascal"):
    reason: str


class VmService:
    """Serves the list of VMs and the orders for them.

    Parameters
    ----------
    vms : SimulatedVms
    pools : collection of PoolId
        Pools that VMs may move to.
    """

    def __init__(self, vms: SimulatedVms, pools: Collection[PoolId]) -> None:
        self._vms = vms
        self._pools = pools

    def add_routes(self, app: web.Application) -> None:
        """Add the calls of the service to `app`."""
        app.router.add_get(f"{PREFIX}/machines", self._list)
        app.router.add_post(f"{PREFIX}/machine-move", self._move)
        app.router.add_post(f"{PREFIX}/machine-upkeep", self._maintain)

    async def _list(self, request: web.Request) -> web.Response:
        first = int(request.query.get("PageToken", 0))
        records = await self._vms.list()
        end = first + PAGE_VMS
        token = str(end) if end < len(records) else None
        return json_response(_Page(list(map(_encode, records[first:end])), token))

    async def _move(self, request: web.Request) -> web.Response:
        order = msgspec.json.decode(await request.read(), type=WireMove)
        pool = PoolId(order.pool)
        if pool not in self._pools or not await self._is_known(order.machine):
            return web.Response(status=400)
        outcome = await self._vms.move(VmId(order.machine), pool, _term(request))
        return _answer(outcome)

    async def _maintain(self, request: web.Request) -> web.Response:
        order = msgspec.json.decode(await request.read(), type=WireUpkeep)
        if not await self._is_known(order.machine):
            return web.Response(status=400)
        outcome = await self._vms.maintain(
            VmId(order.machine), order.wave, _term(request)
        )
        return _answer(outcome)

    async def _is_known(self, machine: str) -> bool:
        return any(each.vm == machine for each in await self._vms.list())


def _term(request: web.Request) -> Term:
    return Term(int(request.headers.get(TERM_HEADER, 0)))


def _answer(outcome: VmOrderOutcome) -> web.Response:
    if outcome is VmOrderOutcome.DONE:
        return json_response({})
    reason = _REASON_OF_REFUSAL.get(outcome)
    if reason is None:
        return web.Response(status=503)
    return json_response(_Refusal(reason), status=409)


def _encode(record: VmRecord) -> WireMachine:
    return WireMachine(
        machine=record.vm,
        pool=record.pool,
        state=record.condition.value,
        zone=record.data_centre,
        labels=list(record.labels),
        capacity=WireResources(
            record.capacity.cpu_millicores,
            record.capacity.memory_mb,
            record.capacity.accelerators,
        ),
        id=record.worker,
    )
