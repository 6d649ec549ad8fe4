"""Entries, answers and bodies that another writer got wrong must end nothing."""

from __future__ import annotations

import asyncio
import json
from dataclasses import replace
from typing import Any

import pytest
from aiohttp import web
from msgspec import structs

from currantstage.platform import (
    AdviceClient,
    MachineClient,
    OperatorRows,
    PlatformHttp,
    StoreClient,
    WorkerClient,
    WorkerRows,
)
from currantstage.platform._decoding import (
    DecodingError,
    decode_configuration,
    decode_job,
    decode_wave,
    decode_worker,
)
from currantstage.protocol import DecodeError
from currantstage.protocol.jobs import decode_job_body, decode_peer_reply
from currantstage.state import EntryVmId
from currantstage.state.jobs import (
    JobId,
    OrderOutcome,
    RowName,
    RowPage,
    StartOrder,
    StepKey,
    StoredRow,
    StoreUnavailable,
    WorkerChanges,
    WorkerId,
)
from tests.jobs.platform_server import renewal_order, run_with_server, start_order
from tests.jobs.test_platform_decoding import CONFIGURATION, ENTRY

DEEP = b"[" * 100_000 + b"]" * 100_000
MANY_DIGITS = b"9" * 400
WAVE = b'{"Wave":1,"Machines":["m-1"],"CompleteByS":20,"Cap":1}'
JOB = b'{"Spec":"x","Steps":[{"Count":2,"Cpu":500,"MemMb":64}]}'


def _with(text: bytes, field: bytes) -> bytes:
    """Add a field to a JSON object."""
    return text[:-1] + b"," + field + b"}"


ODD_WORKERS = {
    "deep": _with(ENTRY, b'"Extra":' + DEEP),
    "deep-objects": _with(ENTRY, b'"Extra":' + b'{"a":' * 5000 + b"1" + b"}" * 5000),
    "many-cores": ENTRY.replace(b'"Cpu":16000', b'"Cpu":' + MANY_DIGITS),
    "negative-cores": ENTRY.replace(b'"Cpu":16000', b'"Cpu":-5'),
    "negative-memory": ENTRY.replace(b'"MemMb":32768', b'"MemMb":-5'),
    "late-birth": ENTRY.replace(b"1767994807123", b"9" * 30),
    "negative-birth": ENTRY.replace(b"1767994807123", b"-1"),
    "negative-remainder": _with(ENTRY, b'"RemainingMs":-1'),
    "port-too-large": ENTRY.replace(b":8080", b":99999"),
    "port-zero": ENTRY.replace(b":8080", b":0"),
    "port-name": ENTRY.replace(b":8080", b":http"),
    "port-other-digits": ENTRY.replace(b":8080", ":8\u0660".encode()),
    "no-port": ENTRY.replace(b":8080", b""),
    "host-name": ENTRY.replace(b"10.128.0.9", b"a" * 300),
    "path-in-address": ENTRY.replace(b":8080", b":8080/x"),
}


def _read_workers(odd_key: str, odd_value: bytes) -> WorkerChanges:
    """Return what is read of an odd entry and a sound one."""

    class Store:
        async def read(self, table: str, partition: str, prefix: str = "") -> RowPage:
            return RowPage(
                tuple(
                    StoredRow(RowName("servers", "", key), value, 1)
                    for key, value in ((odd_key, odd_value), ("i-1", ENTRY))
                ),
                1,
            )

    return asyncio.run(WorkerRows(Store()).read())  # type: ignore[arg-type]


@pytest.mark.parametrize("odd", ODD_WORKERS)
def test_odd_worker_entry_is_left_out_and_the_others_hold(odd: str) -> None:
    changes = _read_workers("i-odd", ODD_WORKERS[odd])
    assert [each.worker for each in changes.entries] == ["i-1"]
    assert changes.removed == ("i-odd",)


ODD_IDS = (
    *("i-7f3a91c2\n", "i-\r\nX: 1", "i\0", "i\t", "i\x7f", "i\x85", "i\u2028"),
    *("", " i-7f3a91c2", "i-7f3a91c2 ", "\ud800"),
)


# Review case 6: an id that ends with a line feed ended each term of the scheduler.
@pytest.mark.parametrize("odd", ODD_IDS)
def test_worker_whose_id_no_header_can_have_is_left_out(odd: str) -> None:
    changes = _read_workers(odd, ENTRY)
    assert [each.worker for each in changes.entries] == ["i-1"]
    assert changes.removed == (odd,)


@pytest.mark.parametrize("odd", ODD_IDS)
def test_order_that_cant_be_sent_counts_as_unanswered(odd: str) -> None:
    async def answer(request: web.Request) -> web.StreamResponse:
        return web.Response(status=404)

    async def use(http: PlatformHttp, address: str) -> None:
        client = WorkerClient(http)
        for order in (renewal_order(address), start_order(address)):
            worker = structs.replace(order.worker, worker=WorkerId(odd))
            sent = replace(order, worker=worker)
            call = client.start if isinstance(sent, StartOrder) else client.hold
            assert await call(sent) is OrderOutcome.UNKNOWN  # type: ignore[arg-type]

    run_with_server(answer, use)


@pytest.mark.parametrize(
    ("decode", "value"),
    [
        (decode_worker, _with(ENTRY, b'"Extra":' + DEEP)),
        (decode_configuration, _with(CONFIGURATION, b'"Extra":' + DEEP)),
        (decode_configuration, CONFIGURATION.replace(b'"Version":7', b'"Version":-7')),
        (
            decode_configuration,
            CONFIGURATION.replace(b":7,", b":%s," % MANY_DIGITS),
        ),
        (decode_wave, _with(WAVE, b'"Extra":' + DEEP)),
        (decode_wave, WAVE.replace(b'"Cap":1', b'"Cap":-1')),
        (decode_wave, WAVE.replace(b'"Wave":1', b'"Wave":' + MANY_DIGITS)),
    ],
)
def test_odd_row_is_refused_as_malformed(decode: Any, value: bytes) -> None:
    arguments = ("i-odd", value) if decode is decode_worker else (value,)
    with pytest.raises(DecodingError):
        decode(*arguments)


def test_odd_wave_and_configuration_leave_the_other_rows_of_operators() -> None:
    class Store:
        async def read(self, table: str, partition: str, prefix: str = "") -> RowPage:
            rows = {
                "config": CONFIGURATION,
                "wave/1": WAVE,
                "wave/2": _with(WAVE, b'"Extra":' + DEEP),
            }
            return RowPage(
                tuple(
                    StoredRow(RowName("op", "", key), value, 1)
                    for key, value in rows.items()
                ),
                1,
            )

    changes = asyncio.run(OperatorRows(Store()).read())  # type: ignore[arg-type]
    assert changes.configuration is not None
    assert [each.number for each in changes.waves] == [1]


def _step(**fields: Any) -> bytes:
    return json.dumps({"Spec": "x", "Steps": [{"Count": 1, **fields}]}).encode()


ODD_JOBS = {
    "deep": _with(JOB, b'"Extra":' + DEEP),
    "no-tasks": _step(Count=0),
    "negative-count": _step(Count=-3),
    "too-many-tasks": _step(Count=10**9),
    "too-many-digits": _step(Count=1).replace(b": 1", b": " + MANY_DIGITS),
    "negative-cpu": _step(Cpu=-500),
    "huge-cpu": _step(Cpu=10**30),
    "negative-memory": _step(MemMb=-500),
    "negative-estimate": _step(EstRuntimeMs=-1),
    "negative-spread": _step(AntiAffinity=-1),
    "negative-may-miss": _step(MayMiss=-1),
    "after-itself": _step(After=[0]),
    "after-a-later-step": _step(After=[7]),
    "after-a-negative-step": _step(After=[-1]),
    "too-many-times": _with(JOB, b'"RepeatCount":1000000000,"PeriodMs":1'),
    "negative-period": _with(JOB, b'"RepeatCount":3,"PeriodMs":-5'),
    "negative-start": _with(JOB, b'"RepeatCount":3,"StartAtMs":-5,"PeriodMs":5'),
}


@pytest.mark.parametrize("odd", ODD_JOBS)
def test_odd_body_of_a_caller_is_refused_as_malformed(odd: str) -> None:
    with pytest.raises(DecodingError):
        decode_job(ODD_JOBS[odd])


@pytest.mark.parametrize(
    "body",
    [
        b'{"spec":"x","steps":[{"task_count":1,"x":' + DEEP + b"}]}",
        b'{"spec":"x","steps":[{"task_count":0}]}',
        b'{"spec":"x","steps":[{"task_count":1000000000}]}',
        b'{"spec":"x","steps":[{"task_count":1,"after":[4]}]}',
        b'{"spec":"x","steps":[{"task_count":1,"resources":{"cpu_millicores":-5}}]}',
    ],
)
def test_odd_body_on_the_own_interface_is_refused_as_malformed(body: bytes) -> None:
    with pytest.raises(DecodeError):
        decode_job_body(body)


def test_odd_message_of_a_peer_is_refused_as_malformed() -> None:
    with pytest.raises(DecodeError):
        decode_peer_reply(b"\x82\xa4type\xa5noted\xa1x" + b"\x91" * 100_000)


ODD_LISTS = {
    "deep": b'{"ClockMs":5,"Running":[],"Ended":[],"Extra":' + DEEP + b"}",
    "task-is-a-number": b'{"ClockMs":5,"Running":[[7,1,"",5]],"Ended":[]}',
    "run-is-a-list": b'{"ClockMs":5,"Running":[["a.0.0.1",[1],"",5]],"Ended":[]}',
    "run-is-too-large": b'{"ClockMs":5,"Running":[["a.0.0.1",%s,"",5]],"Ended":[]}'
    % MANY_DIGITS,
    "percent-is-null": b'{"ClockMs":5,"Running":[["a.0.0.1",1,"",null]],"Ended":[]}',
    "how-is-a-list": b'{"ClockMs":5,"Running":[],"Ended":[[1,"a.0.0.1",1,[],""]]}',
    "clock-is-too-large": b'{"ClockMs":%s,"Running":[],"Ended":[]}' % MANY_DIGITS,
}


@pytest.mark.parametrize("odd", ODD_LISTS)
def test_odd_lists_of_a_worker_count_as_no_answer(odd: str) -> None:
    async def answer(request: web.Request) -> web.StreamResponse:
        return web.Response(body=ODD_LISTS[odd], content_type="application/json")

    async def use(http: PlatformHttp, address: str) -> None:
        outcome = await WorkerClient(http).hold(renewal_order(address))
        assert outcome is OrderOutcome.UNKNOWN

    run_with_server(answer, use)


#: Sound for every service, but for a field that none of them reads.
DEEP_ANSWER = (
    b'{"Ver":1,"rows":[],"Machines":[],"Good":[],"Reason":"fence","Extra":%s}' % DEEP
)


def test_odd_answers_of_services_count_as_no_answer() -> None:
    async def answer(request: web.Request) -> web.StreamResponse:
        return web.Response(
            body=DEEP_ANSWER, content_type="application/json", status=200
        )

    async def use(http: PlatformHttp, address: str) -> None:
        store = StoreClient(http, address)
        with pytest.raises(StoreUnavailable):
            await store.read("op", "")
        with pytest.raises(StoreUnavailable):
            await store.changes("op", 1, 0)
        with pytest.raises(StoreUnavailable):
            await store.transact((), ())
        with pytest.raises(StoreUnavailable):
            await MachineClient(http, address, EntryVmId("own")).list()
        step = StepKey(JobId("a" * 16), 0, 0)
        assert await AdviceClient(http, address).advise(step, [], 1.0) is None

    run_with_server(answer, use)


def test_odd_reason_of_a_refused_order_is_no_reason() -> None:
    async def answer(request: web.Request) -> web.StreamResponse:
        return web.Response(
            body=DEEP_ANSWER, content_type="application/json", status=409
        )

    async def use(http: PlatformHttp, address: str) -> None:
        outcome = await WorkerClient(http).start(start_order(address))
        assert outcome is OrderOutcome.OUTDATED

    run_with_server(answer, use)


def test_odd_vm_in_the_list_is_left_out_and_the_others_hold() -> None:
    vm = {"Machine": "m-1", "Pool": "p", "State": "up", "Zone": "z", "Labels": ["r"]}
    vm["Capacity"] = {"Cpu": 1000, "MemMb": 64}  # type: ignore[assignment]
    odd = [
        {**vm, "Machine": "m-2", "Capacity": {"Cpu": -1}},
        {**vm, "Machine": "m-3", "State": "asleep"},
        {**vm, "Machine": 4},
        None,
    ]

    async def answer(request: web.Request) -> web.StreamResponse:
        return web.json_response({"Machines": [*odd, vm], "NextToken": ""})

    async def use(http: PlatformHttp, address: str) -> None:
        vms = await MachineClient(http, address, EntryVmId("own")).list()
        assert [each.vm for each in vms] == ["m-1"]

    run_with_server(answer, use)


def test_row_whose_value_is_no_base64_has_an_empty_value() -> None:
    async def answer(request: web.Request) -> web.StreamResponse:
        rows = [{"Table": "servers", "Key": "i", "Value": "é", "Ver": 3}]
        return web.json_response({"Ver": 7, "rows": rows})

    async def use(http: PlatformHttp, address: str) -> None:
        page = await StoreClient(http, address).read("servers", "")
        assert [row.value for row in page.rows] == [b""]

    run_with_server(answer, use)


@pytest.mark.parametrize("address", ["a" * 300 + ":80", "127.0.0.1:99999", "[::1", ""])
def test_call_to_an_odd_address_fails_as_one_that_was_not_sent(address: str) -> None:
    async def use() -> None:
        http = PlatformHttp()
        await http.start()
        try:
            order = start_order(address)
            assert await WorkerClient(http).start(order) is OrderOutcome.UNSENT
        finally:
            await http.close()

    asyncio.run(use())


def test_entry_of_the_tests_is_sound() -> None:
    assert decode_worker("i-1", ENTRY).address == "10.128.0.9:8080"
    assert decode_job(JOB).steps
