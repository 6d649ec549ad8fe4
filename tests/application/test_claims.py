"""Idempotency keys with real daemons and a failing store."""

from __future__ import annotations

import asyncio
import time

import aiohttp
import uvloop

from currantstage.protocol import KEY_HEADER, OUTCOME_HEADER, NoteState
from currantstage.standin import (
    OPERATOR_KEY,
    BackendMode,
    LoopbackCluster,
    PlatformMode,
)
from currantstage.state import NoteId
from currantstage.transport import OperatorClient

TIMEOUT_S = 60
#: A short deadline: until then, a request of unknown outcome holds its slot and delays
#: the stop of the daemon.
HEADERS = {
    KEY_HEADER: "north-1.north-secret",
    "currantstage-timeout-ms": "2000",
}


def make_key(name):
    return f"{int(time.time())}-{name}"


async def post(caller, url, key, body=b"order"):
    headers = {**HEADERS, "currantstage-idempotency-key": key}
    async with caller.post(
        f"{url}/v1/queues/parcels", data=body, headers=headers
    ) as response:
        return response.headers[OUTCOME_HEADER], await response.read()


async def post_until_owned(caller, url, key):
    """Retry while the buckets have no owner yet; a refused request was not run."""
    while True:
        outcome, body = await post(caller, url, key)
        if outcome != "not-run":
            return outcome, body
        await asyncio.sleep(0.1)


def run_with_cluster(check):
    async def run():
        async with (
            asyncio.timeout(TIMEOUT_S),
            LoopbackCluster() as cluster,
            OperatorClient(cluster.urls[0], OPERATOR_KEY) as operator,
            aiohttp.ClientSession() as caller,
        ):
            report = await operator.submit_note(cluster.note)
            while report.state is NoteState.COMMITTED:
                await asyncio.sleep(0.02)
                report = await operator.note_status(NoteId("first-note"))
            await check(cluster, caller)

    uvloop.run(run())


def bodies_run(cluster):
    return [body for each in cluster.backends.values() for body in each.bodies]


def test_a_retry_at_another_entry_vm_gets_the_first_answer():
    async def check(cluster, caller):
        key = make_key("first")
        first = await post_until_owned(caller, cluster.urls[0], key)
        assert first[0] == "completed"
        for url in cluster.urls:
            assert await post_until_owned(caller, url, key) == first
        assert bodies_run(cluster) == [b"order"]
        outcome, body = await post(caller, cluster.urls[1], key, b"another order")
        assert (outcome, b"idempotency-key-reused" in body) == ("not-run", True)
        outcome, body = await post(caller, cluster.urls[1], "1-old")
        assert (outcome, b"idempotency-key-expired" in body) == ("not-run", True)

    run_with_cluster(check)


def test_a_request_that_may_have_run_stays_unknown():
    async def check(cluster, caller):
        for backend in cluster.backends.values():
            backend.mode = BackendMode.TRUNCATED
        key = make_key("short")
        outcome, _ = await post_until_owned(caller, cluster.urls[0], key)
        assert outcome == "unknown"
        for backend in cluster.backends.values():
            backend.mode = BackendMode.UP
        for url in cluster.urls:
            assert (await post_until_owned(caller, url, key))[0] == "unknown"
        assert bodies_run(cluster) == [b"order"]

    run_with_cluster(check)


def test_without_the_store_a_request_with_a_key_is_not_run():
    async def check(cluster, caller):
        await post_until_owned(caller, cluster.urls[0], make_key("warm"))
        cluster.platform.mode = PlatformMode.DOWN
        outcome, body = await post(caller, cluster.urls[0], make_key("down"))
        assert (outcome, b"claim-unavailable" in body) == ("not-run", True)
        assert len(bodies_run(cluster)) == 1

    run_with_cluster(check)
