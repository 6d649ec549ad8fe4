"""What the platform's clients see of each fault of the served platform."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

import pytest

from currantstage.platform import MachineClient, PlatformHttp, StoreClient
from currantstage.platform.messages import decode_configuration
from currantstage.standin.served import (
    Fault,
    FaultBoard,
    FaultKind,
    ServedPlatform,
    Service,
    SiteSize,
    encode_configuration,
)
from currantstage.state import EntryVmId, PoolId, VmId
from currantstage.state.jobs import (
    Committed,
    Conflicted,
    RowCondition,
    RowName,
    RowWrite,
    StoreUnavailable,
    Term,
    VmOrderOutcome,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

FIRST, SECOND = EntryVmId("entry-0"), EntryVmId("entry-1")
ROW = RowName("jobs", "p", "k")
LONG_S = 60.0


def run_with_platform(
    use: Callable[[ServedPlatform, FaultBoard, PlatformHttp], Awaitable[None]],
) -> None:
    """Run `use` beside a platform for two daemons."""

    async def run() -> None:
        board = FaultBoard()
        size = SiteSize(daemons=2, vms_per_pool=1, spare_vms=0)
        configuration = decode_configuration(encode_configuration())
        platform = ServedPlatform(size, board, random.Random(1), configuration)
        http = PlatformHttp()
        await platform.start()
        await http.start()
        try:
            await use(platform, board, http)
        finally:
            await http.close()
            await platform.close()

    asyncio.run(run())


@pytest.mark.parametrize(
    ("kind", "reason", "is_in_doubt"),
    [
        (FaultKind.REFUSE, "refused", False),
        (FaultKind.RESET, "broken", True),
        (FaultKind.UNAVAILABLE, "503", False),
        (FaultKind.SILENT, "timeout", True),
        (FaultKind.LOSE_ANSWERS, "timeout", True),
    ],
)
def test_store_fails_for_one_daemon_and_serves_the_other(
    kind: FaultKind, reason: str, is_in_doubt: bool
) -> None:
    async def use(
        platform: ServedPlatform, board: FaultBoard, http: PlatformHttp
    ) -> None:
        met = StoreClient(http, platform.store_addresses[FIRST])
        other = StoreClient(http, platform.store_addresses[SECOND])
        assert isinstance(await met.transact((), (RowWrite(ROW, b"1"),)), Committed)
        only_first = frozenset({FIRST})
        board.add(Fault(Service.STORE, kind, 0.0, LONG_S, daemons=only_first))
        await asyncio.sleep(0.1)
        with pytest.raises(StoreUnavailable, match=reason) as caught:
            await met.transact((), (RowWrite(ROW, b"2"),))
        assert caught.value.is_in_doubt is is_in_doubt
        row = await other.read_row(ROW)
        assert row is not None
        assert row.value == (b"2" if kind is FaultKind.LOSE_ANSWERS else b"1")

    run_with_platform(use)


def test_store_answers_conflicts_and_changes() -> None:
    async def use(
        platform: ServedPlatform, board: FaultBoard, http: PlatformHttp
    ) -> None:
        store = StoreClient(http, platform.store_addresses[FIRST])
        first = await store.transact((), (RowWrite(ROW, b"1"),))
        assert isinstance(first, Committed)
        conflict = await store.transact((RowCondition(ROW, 0),), ())
        assert isinstance(conflict, Conflicted)
        assert conflict.rows[0].version == first.version
        await store.transact((), (RowWrite(ROW, None),))
        page = await store.changes(ROW.table, first.version, wait_ms=1000)
        assert page is not None
        assert [row.value for row in page.rows] == [None]
        platform.store.compact_history()
        assert await store.changes(ROW.table, first.version, wait_ms=0) is None

    run_with_platform(use)


def test_vm_orders_are_unavailable_while_the_list_is_served() -> None:
    async def use(
        platform: ServedPlatform, board: FaultBoard, http: PlatformHttp
    ) -> None:
        vms = MachineClient(http, platform.vm_addresses[FIRST], FIRST)
        fault = Fault(Service.VMS, FaultKind.UNAVAILABLE, 0.0, LONG_S, orders_only=True)
        board.add(fault)
        assert len(await vms.list()) == 2
        order = (VmId("m-0"), PoolId("letters"), Term(1))
        assert await vms.move(*order) is VmOrderOutcome.UNAVAILABLE
        board.faults.clear()
        assert await vms.move(*order) is VmOrderOutcome.DONE

    run_with_platform(use)
