"""Platform clients, against a loopback server that speaks the protocol."""

from __future__ import annotations

import asyncio
import base64
import time
from typing import TYPE_CHECKING, Any

import pytest
from aiohttp import web

from currantstage.platform import (
    MachineClient,
    PlatformHttp,
    StoreClient,
    WorkerClient,
    _store,
)
from currantstage.platform._http import (
    MAX_CONNECTIONS_PER_ADDRESS,
    CallFailure,
    HttpReply,
)
from currantstage.state import EntryVmId, PoolId, VmId
from currantstage.state.jobs import (
    Committed,
    Conflicted,
    EndKind,
    EndNumber,
    Fence,
    OrderOutcome,
    RenewalOrder,
    RenewalReply,
    RowCondition,
    RowName,
    RowPage,
    RowWrite,
    StoreUnavailable,
    Term,
    VmCondition,
    VmOrderOutcome,
)
from tests.jobs.platform_server import TASK, run_with_server, start_order
from tests.jobs.records import entry

if TYPE_CHECKING:
    pass

#: Time for which a late event loop does nothing; longer than the timeout of an order.
LAG_S = 0.8
ROW = RowName("scheduler", "p", "lease")


def test_transaction_sends_versions_and_base64_values() -> None:
    seen: list[Any] = []

    async def answer(request: web.Request) -> web.StreamResponse:
        seen.append(await request.json())
        return web.json_response({"Ver": 412, "NowMs": 1})

    async def use(http: PlatformHttp, address: str) -> None:
        outcome = await StoreClient(http, address).transact(
            (RowCondition(ROW, 3),), (RowWrite(ROW, b"node"), RowWrite(ROW, None))
        )
        assert outcome == Committed(412)

    run_with_server(answer, use)
    name = {"Table": "scheduler", "part": "p", "Key": "lease"}
    assert seen == [
        {
            "ExpectRev": [name | {"Ver": 3}],
            "Put": [name | {"Value": base64.b64encode(b"node").decode()}],
            "Remove": [name],
        }
    ]


def test_conflict_returns_the_current_rows() -> None:
    async def answer(request: web.Request) -> web.StreamResponse:
        row = {
            "Table": "scheduler",
            "part": "p",
            "Key": "lease",
            "Value": "eA==",
            "Ver": 9,
        }
        return web.json_response({"rows": [row], "Ver": 9}, status=412)

    async def use(http: PlatformHttp, address: str) -> None:
        outcome = await StoreClient(http, address).transact((RowCondition(ROW, 3),), ())
        assert isinstance(outcome, Conflicted)
        assert (outcome.rows[0].value, outcome.rows[0].version) == (b"x", 9)

    run_with_server(answer, use)


@pytest.mark.parametrize(
    ("status", "is_in_doubt"), [(429, False), (503, False), (500, True), (502, True)]
)
def test_failed_transaction_says_whether_it_is_in_doubt(
    status: int, is_in_doubt: bool
) -> None:
    async def answer(request: web.Request) -> web.StreamResponse:
        return web.Response(status=status)

    async def use(http: PlatformHttp, address: str) -> None:
        with pytest.raises(StoreUnavailable) as caught:
            await StoreClient(http, address).transact((), ())
        assert caught.value.is_in_doubt is is_in_doubt

    run_with_server(answer, use)


def test_refused_connection_is_not_in_doubt() -> None:
    async def use() -> None:
        http = PlatformHttp()
        await http.start()
        try:
            with pytest.raises(StoreUnavailable) as caught:
                await StoreClient(http, "127.0.0.1:1").transact((), ())
            assert not caught.value.is_in_doubt
            outcome = await WorkerClient(http).start(start_order("127.0.0.1:1"))
            assert outcome is OrderOutcome.UNSENT
        finally:
            await http.close()

    asyncio.run(use())


@pytest.mark.parametrize("is_opened", [True, False])
def test_call_without_open_connections_is_certainly_not_sent(is_opened: bool) -> None:
    """A write during the shutdown ended its task, and its caller got a 500."""

    async def use() -> None:
        http = PlatformHttp()
        if is_opened:
            await http.start()
            await http.close()
        with pytest.raises(StoreUnavailable) as caught:
            await StoreClient(http, "127.0.0.1:1").transact((), ())
        assert not caught.value.is_in_doubt
        outcome = await WorkerClient(http).start(start_order("127.0.0.1:1"))
        assert outcome is OrderOutcome.UNSENT

    asyncio.run(use())


def test_write_under_way_when_the_connections_are_closed_is_in_doubt() -> None:
    is_sent = asyncio.Event()
    is_over = asyncio.Event()

    async def answer(request: web.Request) -> web.StreamResponse:
        is_sent.set()
        await is_over.wait()
        return web.json_response({"Ver": 7})

    async def use(http: PlatformHttp, address: str) -> None:
        write = asyncio.create_task(StoreClient(http, address).transact((), ()))
        await is_sent.wait()
        await http.close()
        try:
            with pytest.raises(StoreUnavailable) as caught:
                await write
            assert caught.value.is_in_doubt
        finally:
            is_over.set()

    run_with_server(answer, use)


def test_read_follows_pages_and_keeps_the_lowest_version() -> None:
    async def answer(request: web.Request) -> web.StreamResponse:
        first = request.query.get("From", "")
        row = {"Table": "jobs", "part": "0", "Key": "b" if first else "a", "Ver": 1}
        body = {"rows": [row], "Ver": 20 if first else 10, "MorePages": not first}
        return web.json_response(body)

    async def use(http: PlatformHttp, address: str) -> None:
        page = await StoreClient(http, address).read("jobs", "0")
        assert [row.name.key for row in page.rows] == ["a", "b"]
        assert page.version == 10

    run_with_server(answer, use)


def test_lost_history_and_removed_rows_are_distinguished() -> None:
    async def answer(request: web.Request) -> web.StreamResponse:
        if request.query["After"] == "1":
            return web.Response(status=410)
        row = {"Table": "op", "Key": "x", "Deleted": True, "Ver": 5}
        return web.json_response({"rows": [row], "Ver": 5})

    async def use(http: PlatformHttp, address: str) -> None:
        store = StoreClient(http, address)
        assert await store.changes("op", 1, 0) is None
        page = await store.changes("op", 2, 0)
        assert page is not None
        assert page.rows[0].value is None

    run_with_server(answer, use)


@pytest.mark.parametrize(
    ("status", "body", "outcome"),
    [
        (200, {"ClockMs": 1}, OrderOutcome.ACCEPTED),
        (409, {"Reason": "fence"}, OrderOutcome.FENCED),
        (409, {"Reason": "old"}, OrderOutcome.OUTDATED),
        (409, {"Reason": "late"}, OrderOutcome.TOO_LATE),
        (409, {"Reason": "room"}, OrderOutcome.NO_CAPACITY),
        (409, {"Reason": "ticket"}, OrderOutcome.NO_TICKET),
        (400, {}, OrderOutcome.MALFORMED),
        (421, {}, OrderOutcome.OTHER_WORKER),
        (429, {}, OrderOutcome.UNHEALTHY),
        (503, {}, OrderOutcome.UNHEALTHY),
        (500, {}, OrderOutcome.UNKNOWN),
    ],
)
def test_start_sends_its_worker_and_returns_its_outcome(
    status: int, body: dict[str, Any], outcome: OrderOutcome
) -> None:
    seen: list[Any] = []

    async def answer(request: web.Request) -> web.StreamResponse:
        seen.append((request.path, request.headers, await request.json()))
        return web.json_response(body, status=status)

    async def use(http: PlatformHttp, address: str) -> None:
        assert await WorkerClient(http).start(start_order(address)) is outcome

    run_with_server(answer, use)
    path, headers, sent = seen[0]
    assert path == "/currantstage/run-start"
    assert headers["X-Currantstage-Expect-Instance"] == "i-1"
    assert sent == {
        "Task": "5c0e7a21d94b36f8.0.1.17",
        "Run": 2,
        "Spec": "x",
        "UntilMs": 486000,
        "Fence": 7,
        "Checkpoint": "c",
    }


def test_hold_returns_both_lists() -> None:
    async def answer(request: web.Request) -> web.StreamResponse:
        running = [["5c0e7a21d94b36f8.0.1.17", 2, "ck", 41, 12]]
        ended = [[58, "5c0e7a21d94b36f8.0.1.9", 1, "broken", ""]]
        body = {"ClockMs": 9, "born": 4, "Running": running, "Ended": ended}
        return web.json_response(body)

    async def use(http: PlatformHttp, address: str) -> None:
        order = RenewalOrder(
            entry("i-1", address=address), Fence(7), EndNumber(57), 486000, 0
        )
        reply = await WorkerClient(http).hold(order)
        assert isinstance(reply, RenewalReply)
        assert (reply.clock_ms, reply.born_ms) == (9, 4)
        assert (reply.running[0].task, reply.running[0].gauge) == (TASK, 12.0)
        assert reply.ended[0].kind is EndKind.PEER_ENDED

    run_with_server(answer, use)


def test_list_of_vms_follows_its_pages() -> None:
    async def answer(request: web.Request) -> web.StreamResponse:
        is_last = "PageToken" in request.query
        vm = {"Machine": f"m-{is_last}", "Pool": "p", "State": "up", "Id": None}
        token = None if is_last else "more"
        return web.json_response({"Machines": [vm], "NextToken": token})

    async def use(http: PlatformHttp, address: str) -> None:
        client = MachineClient(http, address, EntryVmId("entry-1"))
        records = await client.list()
        assert [record.vm for record in records] == ["m-False", "m-True"]
        assert records[0].condition is VmCondition.UP

    run_with_server(answer, use)


@pytest.mark.parametrize(("count", "has_more"), [(499, False), (500, True)])
def test_list_that_holds_as_many_ends_as_fit_may_have_more(
    count: int, has_more: bool
) -> None:
    ends = [
        [number, "5c0e7a21d94b36f8.0.1.9", 1, "done", ""] for number in range(count)
    ]

    async def answer(request: web.Request) -> web.StreamResponse:
        return web.json_response({"ClockMs": 1, "Running": [], "Ended": ends})

    async def use(http: PlatformHttp, address: str) -> None:
        order = RenewalOrder(
            entry("i-1", address=address), Fence(7), EndNumber(0), 1, 0
        )
        reply = await WorkerClient(http).hold(order)
        assert isinstance(reply, RenewalReply)
        assert reply.has_more_ends is has_more

    run_with_server(answer, use)


def test_vm_order_carries_holder_and_fencing_token() -> None:
    seen: list[Any] = []

    async def answer(request: web.Request) -> web.StreamResponse:
        seen.append(request.headers)
        return web.json_response({"Reason": "fence"}, status=409)

    async def use(http: PlatformHttp, address: str) -> None:
        client = MachineClient(http, address, EntryVmId("entry-1"))
        outcome = await client.move(VmId("m"), PoolId("p"), Term(12))
        assert outcome is VmOrderOutcome.FENCED

    run_with_server(answer, use)
    assert seen[0]["X-Currantstage-Lease-Holder"] == "entry-1"
    assert seen[0]["X-Currantstage-Fencing-Token"] == "12"


def test_answer_that_arrived_while_the_loop_was_late_is_returned() -> None:
    """A late scheduler took its workers for silent, and their leases expired."""

    async def answer(request: web.Request) -> web.StreamResponse:
        return web.json_response({"ClockMs": 1})

    async def use(http: PlatformHttp, address: str) -> None:
        asyncio.get_running_loop().call_soon(time.sleep, LAG_S)
        outcome = await WorkerClient(http).start(start_order(address))
        assert outcome is OrderOutcome.ACCEPTED

    run_with_server(answer, use)


def test_order_carries_no_headers_that_only_fill_the_link() -> None:
    seen: set[str] = set()

    async def answer(request: web.Request) -> web.StreamResponse:
        seen.update(request.headers)
        return web.json_response({})

    async def use(http: PlatformHttp, address: str) -> None:
        outcome = await WorkerClient(http).start(start_order(address))
        assert outcome is OrderOutcome.ACCEPTED

    run_with_server(answer, use)
    assert seen == {
        "Host",
        "Content-Type",
        "Content-Length",
        "X-Currantstage-Expect-Instance",
    }


def test_write_waits_longer_after_one_that_the_store_answered_too_late(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Each write to a store slower than the shortest timeout was abandoned."""
    monkeypatch.setattr(_store, "MIN_TIMEOUT_S", 0.2)

    first_is_abandoned = asyncio.Event()

    async def answer(request: web.Request) -> web.Response:
        await first_is_abandoned.wait()
        await asyncio.sleep(0.3)
        return web.json_response({"Ver": 7})

    async def use(http: PlatformHttp, address: str) -> None:
        client = StoreClient(http, address)
        with pytest.raises(StoreUnavailable, match="timeout"):
            await client.transact((), (RowWrite(ROW, b"x"),))
        first_is_abandoned.set()
        assert await client.transact((), (RowWrite(ROW, b"x"),)) == Committed(7)

    run_with_server(answer, use)


def test_poll_of_changes_waits_longer_after_one_that_was_answered_too_late() -> None:
    """Each poll of a slow store was given up, so that no change was learned of."""
    timeouts_s: list[float] = []

    class _SlowHttp(PlatformHttp):
        async def call(
            self, method: str, url: str, timeout_s: float, **_: object
        ) -> HttpReply | CallFailure:
            timeouts_s.append(timeout_s)
            if timeout_s < 2.0:
                return CallFailure.TIMEOUT
            return HttpReply(200, b'{"Ver":7}')

    async def poll() -> RowPage | None:
        client = StoreClient(_SlowHttp(), "127.0.0.1:1")
        with pytest.raises(StoreUnavailable, match="timeout"):
            await client.changes("jobs", 3, 1000)
        return await client.changes("jobs", 3, 1000)

    assert asyncio.run(poll()) == RowPage((), 7)
    assert timeouts_s == pytest.approx([1.9, 2.8])


def test_write_that_its_caller_abandoned_late_does_not_shorten_the_next_timeout(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Writes seen to be stored before their answer left the timeout at its minimum."""
    monkeypatch.setattr(_store, "MIN_TIMEOUT_S", 0.2)
    monkeypatch.setattr(_store, "MAX_TIMEOUT_S", 0.6)

    all_are_abandoned = asyncio.Event()

    async def answer(request: web.Request) -> web.Response:
        await all_are_abandoned.wait()
        await asyncio.sleep(0.3)
        return web.json_response({"Ver": 7})

    async def use(http: PlatformHttp, address: str) -> None:
        client = StoreClient(http, address)
        for _ in range(8):
            with pytest.raises(TimeoutError):
                await asyncio.wait_for(client.transact((), ()), 0.15)
        all_are_abandoned.set()
        assert await client.transact((), (RowWrite(ROW, b"x"),)) == Committed(7)

    run_with_server(answer, use)


def test_connections_gone_silent_cost_the_store_client_one_timeout() -> None:
    silent: set[int] = set()
    seen: set[int] = set()
    all_arrived = asyncio.Event()
    is_over = asyncio.Event()

    async def answer(request: web.Request) -> web.StreamResponse:
        connection = id(request.transport)
        if connection in silent:
            await is_over.wait()
        if not silent:
            seen.add(connection)
            if len(seen) == 4:
                all_arrived.set()
            await all_arrived.wait()
        return web.json_response({"Ver": 7, "rows": []})

    async def use(http: PlatformHttp, address: str) -> None:
        client = StoreClient(http, address)
        await asyncio.gather(*(client.read("op", "") for _ in range(4)))
        silent.update(seen)
        try:
            with pytest.raises(StoreUnavailable):
                await client.read("op", "")
            assert (await client.read("op", "")).version == 7
        finally:
            is_over.set()

    run_with_server(answer, use)


def test_poll_does_not_wait_for_the_connections_that_writes_use() -> None:
    poll_answered = asyncio.Event()

    async def answer(request: web.Request) -> web.StreamResponse:
        if request.path.endswith("rows-tx"):
            await poll_answered.wait()
        return web.json_response({"Ver": 7, "rows": []})

    async def use(http: PlatformHttp, address: str) -> None:
        client = StoreClient(http, address)
        writes = [
            asyncio.ensure_future(client.transact((), ()))
            for _ in range(MAX_CONNECTIONS_PER_ADDRESS + 4)
        ]
        await asyncio.sleep(0)
        try:
            assert await client.changes("op", 7, 0) is not None
        finally:
            poll_answered.set()
            await asyncio.gather(*writes, return_exceptions=True)

    run_with_server(answer, use)


@pytest.mark.parametrize("is_marked", [True, False])
def test_changes_beyond_a_full_answer_are_not_missed(is_marked: bool) -> None:
    """The version of a full answer was taken for that of all it had changed."""
    stored = [{"Table": "op", "Key": f"{n:04}", "Ver": n} for n in range(1, 1202)]
    newest = len(stored)

    async def answer(request: web.Request) -> web.StreamResponse:
        changed = stored[int(request.query["After"]) :]
        body = {"rows": changed[:500], "Ver": newest}
        if is_marked:
            body["MorePages"] = len(changed) > 500
        return web.json_response(body)

    async def use(http: PlatformHttp, address: str) -> None:
        page = await StoreClient(http, address).changes("op", 0, 0)
        assert page is not None
        assert {row.name.key for row in page.rows} == {row["Key"] for row in stored}
        assert page.version == newest

    run_with_server(answer, use)
