"""The request path with real backend servers that fail."""

from __future__ import annotations

import asyncio
import contextlib
import random
from dataclasses import dataclass

import msgspec
import pytest
import uvloop

from currantstage.application import DaemonMetrics, RequestPath
from currantstage.coordination.limits import UsageTracker, WeightedMaxMin
from currantstage.coordination.membership import Configuration
from currantstage.coordination.requests import Assignment, Outcome, Submission
from currantstage.protocol import CallerOptions, CallerRequest, OutcomeBody
from currantstage.standin import BackendMode, BackendStandIn, find_free_ports
from currantstage.state import DataCentreId, IncarnationId, RequestId, VmId
from currantstage.util import MonotonicClock
from tests.local_limits import LocalTeamLimiter, LocalWorkerSlots
from tests.request_fakes import QUEUE, make_fleet, renew_lease

IDEMPOTENT = CallerOptions(idempotent=True)


@dataclass
class RequestPathFixture:
    """A request path and its backend servers."""

    path: RequestPath
    configuration: Configuration
    backends: dict[str, BackendStandIn]

    async def serve(self, body, options=CallerOptions()):  # noqa: B008
        return await self.path.queues.serve(
            CallerRequest(
                queue=QUEUE,
                presented_key="north.secret",
                content_type="text/plain",
                body=body,
                options=options,
            )
        )

    def runs(self):
        return sorted(body for each in self.backends.values() for body in each.bodies)


@contextlib.asynccontextmanager
async def start_fixture(**options):
    fleet = make_fleet(**options)
    ports = find_free_ports(len(fleet.vms))
    addresses = {
        vm: f"127.0.0.1:{port}" for vm, port in zip(fleet.vms, ports, strict=True)
    }
    vms = {
        vm_id: msgspec.structs.replace(vm, address=addresses[vm_id])
        for vm_id, vm in fleet.vms.items()
    }
    configuration = Configuration()
    configuration.apply(msgspec.structs.replace(fleet, vms=vms))
    clock = MonotonicClock()
    renew_lease(configuration, clock.now_s())
    metrics = DaemonMetrics()
    path = RequestPath.build(
        configuration,
        DataCentreId("a"),
        LocalTeamLimiter(configuration),
        LocalWorkerSlots(configuration),
        WeightedMaxMin(),
        UsageTracker(),
        metrics,
        clock,
        random.Random(4),
        IncarnationId("i"),
    )
    backends = {
        vm_id: BackendStandIn(vm_id, address) for vm_id, address in addresses.items()
    }
    for each in backends.values():
        await each.start()
    await path.backends.start()
    try:
        yield RequestPathFixture(path, configuration, backends)
    finally:
        await path.backends.close()
        for each in backends.values():
            each.mode = BackendMode.UP
            await each.close()
        metrics.close()


def run_with_fixture(check, **options):
    async def run():
        async with start_fixture(**options) as fixture:
            await check(fixture)

    uvloop.run(run())


async def wait_until(condition):
    while not condition():
        await asyncio.sleep(0.001)


def test_a_non_idempotent_request_is_never_sent_again():
    """Even if a reused connection breaks after the request was sent."""

    async def check(fixture):
        assert (await fixture.serve(b"first")).outcome is Outcome.COMPLETED
        for mode in (BackendMode.DROPPING, BackendMode.TRUNCATED):
            for each in fixture.backends.values():
                each.mode = mode
            body = mode.value.encode()
            answer = await fixture.serve(body)
            assert answer.outcome is Outcome.UNKNOWN
            assert answer.status == 504
            assert fixture.runs().count(body) == 1

    run_with_fixture(check)


def test_an_idempotent_request_is_answered_by_another_server():
    async def check(fixture):
        for mode in (BackendMode.DROPPING, BackendMode.TRUNCATED, BackendMode.FAILING):
            fixture.backends["w0"].mode = mode
            answers = [await fixture.serve(b"x", IDEMPOTENT) for _ in range(4)]
            assert [answer.body for answer in answers] == [b"w1:x"] * 4

    run_with_fixture(check)


def test_an_unreachable_server_is_skipped_and_its_request_not_run():
    async def check(fixture):
        await fixture.backends["w0"].close()
        for _ in range(4):
            assert (await fixture.serve(b"x")).body == b"w1:x"
        await fixture.backends["w1"].close()
        await fixture.path.backends.replace_connections(
            fixture.configuration.fleet.vms[VmId("w1")]
        )
        answer = await fixture.serve(b"y")
        assert answer.outcome is Outcome.NOT_RUN
        assert b"y" not in fixture.runs()

    run_with_fixture(check)


def test_a_silent_connection_is_replaced_and_its_server_stays_in_use():
    async def check(fixture):
        # More connections than attempts, so trying one after the other is not enough.
        fixture.backends["w0"].duration_s = 0.02
        for _ in range(3):
            await asyncio.gather(*(fixture.serve(b"x") for _ in range(4)))
        fixture.backends["w0"].silence_connections()
        answer = await fixture.serve(b"again", IDEMPOTENT)
        assert answer.body == b"w0:again"
        await fixture.path.probe_servers()
        assert (await fixture.serve(b"next")).body == b"w0:next"
        assert fixture.runs().count(b"again") == 1

    run_with_fixture(check, workers=1, slots=4)


def test_a_cancelled_caller_keeps_the_slot_until_its_job_has_ended():
    async def check(fixture):
        backend = fixture.backends["w0"]
        backend.duration_s = 0.05
        first = asyncio.create_task(fixture.serve(b"first"))
        await wait_until(lambda: backend.running)
        first.cancel()
        answer = await fixture.serve(b"second")
        assert answer.body == b"w0:second"
        assert backend.peak_running == 1

    run_with_fixture(check, workers=1, slots=1)


def test_each_caller_gets_its_own_answer_despite_many_cancellations():
    async def check(fixture):
        for each in fixture.backends.values():
            each.duration_s = 0.002
        bodies = [f"{number}".encode() for number in range(300)]
        tasks = [asyncio.create_task(fixture.serve(body)) for body in bodies]
        await asyncio.sleep(0.01)
        for task in tasks[::2]:
            task.cancel()
        answers = await asyncio.gather(*tasks, return_exceptions=True)
        for body, answer in list(zip(bodies, answers, strict=True))[1::2]:
            assert answer.body.endswith(b":" + body)
        assert await fixture.path.queues.drain(5.0)
        assert len(fixture.runs()) == len(set(fixture.runs()))
        assert all(each.peak_running <= 2 for each in fixture.backends.values())

    run_with_fixture(check, max_waiting=300)


def test_an_answer_without_a_length_is_not_forwarded():
    async def check(fixture):
        await fixture.backends["w0"].close()

        async def answer_half(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhalf")
            writer.close()

        port = fixture.configuration.fleet.vms[VmId("w0")].address.rpartition(":")[2]
        async with await asyncio.start_server(answer_half, "127.0.0.1", port):
            answer = await fixture.serve(b"x")
        assert answer.outcome is Outcome.UNKNOWN

    run_with_fixture(check, workers=1)


def test_cancelling_a_request_as_it_starts_releases_the_slot():
    async def check(fixture):
        driver = fixture.path.driver
        submission = Submission(QUEUE, "north.secret")
        held = await driver.submit(RequestId("first"), submission)
        waits = asyncio.create_task(driver.submit(RequestId("second"), submission))
        await asyncio.sleep(0)
        driver.finish(held, is_outcome_known=True)
        waits.cancel()
        await asyncio.gather(waits, return_exceptions=True)
        assert isinstance(
            await driver.submit(RequestId("third"), submission), Assignment
        )

    run_with_fixture(check, workers=1, slots=1)


def test_a_waiting_request_is_refused_at_its_deadline():
    async def check(fixture):
        fixture.backends["w0"].duration_s = 0.2
        first = asyncio.create_task(fixture.serve(b"first"))
        await wait_until(lambda: fixture.backends["w0"].running)
        answer = await fixture.serve(b"second", CallerOptions(timeout_ms=20))
        body = msgspec.json.decode(answer.body, type=OutcomeBody)
        assert (body.outcome, body.reason) == (Outcome.NOT_RUN, "deadline-passed")
        await first
        assert fixture.runs() == [b"first"]

    run_with_fixture(check, workers=1, slots=1)


class _FaultyClaims:
    """Claims with a fault."""

    async def take(self, *_: object) -> None:
        raise ValueError("wrong")


def test_failed_claim_releases_the_slot():
    """The slot stayed held, and those who waited for it were never served."""

    async def check(fixture):
        fixture.path.queues.set_claims(_FaultyClaims())
        with pytest.raises(ValueError, match="wrong"):
            await fixture.serve(b"first", CallerOptions(idempotency_key="1-key"))
        answer = await fixture.serve(b"second", CallerOptions(timeout_ms=500))
        assert answer.outcome is Outcome.COMPLETED

    run_with_fixture(check, workers=1, slots=1)
