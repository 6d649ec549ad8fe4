"""The request path against real backend servers that fail."""

from __future__ import annotations

import asyncio
import contextlib
import random
from dataclasses import dataclass

import msgspec
import uvloop

from currantstage.application import DaemonMetrics, RequestPath
from currantstage.coordination.limits import UsageTracker, WeightedMaxMin
from currantstage.coordination.membership import Configuration
from currantstage.coordination.requests import Assignment, Outcome, Submission
from currantstage.protocol import CallerOptions, CallerRequest, OutcomeBody
from currantstage.standin import BackendMode, BackendStandIn, free_ports
from currantstage.state import DataCentreId, IncarnationId, RequestId, VmId
from currantstage.util import MonotonicClock
from tests.local_limits import LocalTeamLimiter, LocalWorkerSlots
from tests.request_fakes import QUEUE, make_fleet, renew_lease

IDEMPOTENT = CallerOptions(idempotent=True)


@dataclass
class Site:
    """A request path and the stand-ins behind it."""

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
async def make_site(**options):
    fleet = make_fleet(**options)
    ports = free_ports(len(fleet.vms))
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
        yield Site(path, configuration, backends)
    finally:
        await path.backends.close()
        for each in backends.values():
            each.mode = BackendMode.UP
            await each.close()
        metrics.close()


def run_on_site(check, **options):
    async def run():
        async with make_site(**options) as site:
            await check(site)

    uvloop.run(run())


async def wait_until(condition):
    while not condition():
        await asyncio.sleep(0.001)


def test_a_non_idempotent_request_is_never_sent_again():
    """Also when a connection that was kept breaks after the request was sent."""

    async def check(site):
        assert (await site.serve(b"first")).outcome is Outcome.COMPLETED
        for mode in (BackendMode.DROPPING, BackendMode.SHORT):
            for each in site.backends.values():
                each.mode = mode
            body = mode.value.encode()
            answer = await site.serve(body)
            assert answer.outcome is Outcome.UNKNOWN
            assert answer.status == 504
            assert site.runs().count(body) == 1

    run_on_site(check)


def test_an_idempotent_request_is_answered_by_another_server():
    async def check(site):
        for mode in (BackendMode.DROPPING, BackendMode.SHORT, BackendMode.FAILING):
            site.backends["w0"].mode = mode
            answers = [await site.serve(b"x", IDEMPOTENT) for _ in range(4)]
            assert [answer.body for answer in answers] == [b"w1:x"] * 4

    run_on_site(check)


def test_an_unreachable_server_is_not_run_and_is_passed_over():
    async def check(site):
        await site.backends["w0"].close()
        for _ in range(4):
            assert (await site.serve(b"x")).body == b"w1:x"
        await site.backends["w1"].close()
        await site.path.backends.replace_connections(
            site.configuration.fleet.vms[VmId("w1")]
        )
        answer = await site.serve(b"y")
        assert answer.outcome is Outcome.NOT_RUN
        assert b"y" not in site.runs()

    run_on_site(check)


def test_a_silent_connection_is_replaced_and_its_server_kept():
    async def check(site):
        # More connections than attempts, so that trying them in turn won't do.
        site.backends["w0"].duration_s = 0.02
        for _ in range(3):
            await asyncio.gather(*(site.serve(b"x") for _ in range(4)))
        site.backends["w0"].silence_connections()
        answer = await site.serve(b"again", IDEMPOTENT)
        assert answer.body == b"w0:again"
        await site.path.probe_servers()
        assert (await site.serve(b"next")).body == b"w0:next"
        assert site.runs().count(b"again") == 1

    run_on_site(check, workers=1, slots=4)


def test_a_cancelled_caller_keeps_the_slot_until_its_job_has_ended():
    async def check(site):
        backend = site.backends["w0"]
        backend.duration_s = 0.05
        first = asyncio.create_task(site.serve(b"first"))
        await wait_until(lambda: backend.running)
        first.cancel()
        answer = await site.serve(b"second")
        assert answer.body == b"w0:second"
        assert backend.most_running == 1

    run_on_site(check, workers=1, slots=1)


def test_each_caller_gets_its_own_answer_through_a_wave_of_cancellations():
    async def check(site):
        for each in site.backends.values():
            each.duration_s = 0.002
        bodies = [f"{number}".encode() for number in range(300)]
        tasks = [asyncio.create_task(site.serve(body)) for body in bodies]
        await asyncio.sleep(0.01)
        for task in tasks[::2]:
            task.cancel()
        answers = await asyncio.gather(*tasks, return_exceptions=True)
        for body, answer in list(zip(bodies, answers, strict=True))[1::2]:
            assert answer.body.endswith(b":" + body)
        assert await site.path.queues.drain(5.0)
        assert len(site.runs()) == len(set(site.runs()))
        assert all(each.most_running <= 2 for each in site.backends.values())

    run_on_site(check, max_waiting=300)


def test_an_answer_without_a_length_is_not_passed_on():
    async def check(site):
        await site.backends["w0"].close()

        async def answer_half(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nhalf")
            writer.close()

        port = site.configuration.fleet.vms[VmId("w0")].address.rpartition(":")[2]
        async with await asyncio.start_server(answer_half, "127.0.0.1", port):
            answer = await site.serve(b"x")
        assert answer.outcome is Outcome.UNKNOWN

    run_on_site(check, workers=1)


def test_a_caller_gone_at_the_moment_of_its_start_leaves_the_slot_free():
    async def check(site):
        driver = site.path.driver
        submission = Submission(QUEUE, "north.secret")
        held = await driver.enter(RequestId("first"), submission)
        waits = asyncio.create_task(driver.enter(RequestId("second"), submission))
        await asyncio.sleep(0)
        driver.finish(held, is_outcome_known=True)
        waits.cancel()
        await asyncio.gather(waits, return_exceptions=True)
        assert isinstance(
            await driver.enter(RequestId("third"), submission), Assignment
        )

    run_on_site(check, workers=1, slots=1)


def test_a_deadline_passes_while_a_request_waits():
    async def check(site):
        site.backends["w0"].duration_s = 0.2
        first = asyncio.create_task(site.serve(b"first"))
        await wait_until(lambda: site.backends["w0"].running)
        answer = await site.serve(b"second", CallerOptions(timeout_ms=20))
        body = msgspec.json.decode(answer.body, type=OutcomeBody)
        assert (body.outcome, body.reason) == (Outcome.NOT_RUN, "deadline-passed")
        await first
        assert site.runs() == [b"first"]

    run_on_site(check, workers=1, slots=1)
