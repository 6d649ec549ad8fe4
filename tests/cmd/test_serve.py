"""Tests of the daemon as a process."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import sys
from pathlib import Path

import aiohttp
import msgspec
import uvloop

from currantstage.protocol import KEY_HEADER, OUTCOME_HEADER, NoteState
from currantstage.standin import BackendStandIn, PlatformStandIn, find_free_ports
from currantstage.state import NoteId
from currantstage.transport import OperatorClient

SETTINGS = """
[entry-vm]
id = a-entry-1
data_centre = a
http_address = 127.0.0.1:{http}
peer_address = 127.0.0.1:{peer}
[platform]
url = {platform}
[peers]
secret = s
[operators]
key = operators
[serving]
max_body_bytes = {max_body}
"""
MAX_BODY_BYTES = 100_000
NOTE = """
[note]
id = first
[add pool p]
data_centre = a
[add vm v]
pool = p
rack = r
address = 127.0.0.1:{backend}
[add queue q]
pools = p
access = open
"""


@contextlib.asynccontextmanager
async def serving(tmp_path, *, duration_s):
    http, peer, platform_port, backend_port = find_free_ports(4)
    platform = PlatformStandIn(f"127.0.0.1:{platform_port}")
    backend = BackendStandIn("v", f"127.0.0.1:{backend_port}", duration_s=duration_s)
    await platform.start()
    await backend.start()
    path = tmp_path / "entry-vm.ini"
    path.write_text(
        SETTINGS.format(
            http=http, peer=peer, platform=platform.url, max_body=MAX_BODY_BYTES
        )
    )
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, "-m", "currantstage", "serve", "--config", str(path)),
        stdout=asyncio.subprocess.PIPE,
    )
    url = f"http://127.0.0.1:{http}"
    try:
        async with OperatorClient(url, "operators") as operator:
            while b"currantstage:started" not in await process.stdout.readline():
                assert process.returncode is None
            report = await operator.submit_note(NOTE.format(backend=backend_port))
            while report.state is NoteState.COMMITTED:
                await asyncio.sleep(0.02)
                report = await operator.note_status(NoteId("first"))
        yield process, url, backend
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()
        await backend.close()
        await platform.close()


def test_sigterm_stops_the_daemon_after_its_running_request(tmp_path):
    async def check():
        async with (
            serving(tmp_path, duration_s=0.5) as (process, url, backend),
            aiohttp.ClientSession() as caller,
        ):
            request = asyncio.create_task(caller.post(f"{url}/v1/queues/q", data=b"x"))
            while not backend.running:
                await asyncio.sleep(0.01)
            process.send_signal(signal.SIGTERM)
            response = await request
            assert (response.status, await response.read()) == (200, b"v:x")
            assert await process.wait() == 0

    uvloop.run(check())


def test_sigterm_refuses_waiting_requests_and_finishes_running_ones(tmp_path):
    async def check():
        async with (
            serving(tmp_path, duration_s=1.0) as (process, url, backend),
            aiohttp.ClientSession() as caller,
        ):

            async def ask(body):
                async with caller.post(f"{url}/v1/queues/q", data=body) as response:
                    return response.status, response.headers, await response.read()

            requests = [asyncio.create_task(ask(b"%d" % n)) for n in range(12)]
            while backend.running < 8:
                await asyncio.sleep(0.01)
            process.send_signal(signal.SIGTERM)
            status = 200
            while status == 200:
                async with caller.get(f"{url}/healthz") as response:
                    status = response.status
            assert not any(request.done() for request in requests)
            answers = await asyncio.gather(*requests)
            assert await process.wait() == 0
        refused = [each for each in answers if each[0] == 503]
        assert len(refused) == 4
        for _, headers, body in refused:
            assert headers[OUTCOME_HEADER] == "not-run"
            assert int(headers["retry-after"]) >= 1
            assert msgspec.json.decode(body)["reason"] == "stopping"
        assert sum(status == 200 for status, _, _ in answers) == 8
        assert len(backend.bodies) == 8

    uvloop.run(check())


def test_malformed_requests_are_refused_as_not_run(tmp_path):
    async def check():
        async with (
            serving(tmp_path, duration_s=0.0) as (_, url, backend),
            aiohttp.ClientSession() as caller,
        ):
            port = int(url.rpartition(":")[2])
            for key in (b"\xff\xfe.x", b"k." + b"x" * 4000, b"."):
                status, head = await post_raw(port, b"currantstage-key: " + key, b"1")
                assert (status, b"completed" in head) == (200, True)
            for option in (b"timeout-ms: 0", b"processors: nan", b"urgent: \xff"):
                status, head = await post_raw(port, b"currantstage-" + option, b"2")
                assert (status, b"not-run" in head) == (400, True), option
            largest = bytes(MAX_BODY_BYTES)
            async with caller.post(f"{url}/v1/queues/q", data=largest) as response:
                assert response.status == 200
            status, head = await post_raw(port, b"x: y", largest + b"x")
            assert (status, b"not-run" in head) == (413, True)
            assert [len(body) for body in backend.bodies] == [1, 1, 1, MAX_BODY_BYTES]

    uvloop.run(check())


async def post_raw(port, header, body):
    """Post with an unvalidated header; return the status and the response head."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    length = str(len(body)).encode()
    lines = (b"POST /v1/queues/q HTTP/1.1", b"host: x", b"content-length: " + length)
    writer.write(b"\r\n".join((*lines, header, b"", body)))
    head = await reader.readuntil(b"\r\n\r\n")
    writer.close()
    return int(head.split()[1]), head


def test_a_serving_daemon_has_one_python_thread_and_no_child(tmp_path):
    async def check():
        async with (
            serving(tmp_path, duration_s=0.0) as (process, url, _),
            aiohttp.ClientSession() as caller,
        ):
            async with caller.post(f"{url}/v1/queues/q", data=b"x") as response:
                assert response.headers[OUTCOME_HEADER] == "completed"
            async with caller.post(f"{url}/v1/queues/no-such-queue") as response:
                assert response.status == 404
            async with caller.get(f"{url}/metrics") as response:
                text = await response.text()
            assert "no-such-queue" not in text
            assert 'currantstage_requests_total{outcome="completed"' in text
            assert "currantstage_python_threads 1.0" in text
            tasks = Path(f"/proc/{process.pid}/task")
            children = [(task / "children").read_text() for task in tasks.iterdir()]
            assert not "".join(children).strip()

    uvloop.run(check())


def test_requests_with_invalid_keys_have_no_effect(tmp_path):
    async def check():
        async with (
            serving(tmp_path, duration_s=0.0) as (_, url, backend),
            aiohttp.ClientSession() as caller,
        ):
            note = "[note]\nid = second\n[withdraw queue q]\n"
            async with caller.post(f"{url}/v1/notes", data=note) as response:
                assert response.status == 403
            headers = {KEY_HEADER: "no.key"}
            async with caller.post(
                f"{url}/v1/queues/none", data=b"x", headers=headers
            ) as response:
                assert response.status == 404
                assert response.headers[OUTCOME_HEADER] == "not-run"
            async with caller.post(f"{url}/v1/queues/q", data=b"x") as response:
                assert response.status == 200
            assert backend.bodies == [b"x"]

    uvloop.run(check())


def test_keys_that_are_not_valid_utf8_are_refused(tmp_path):
    async def check():
        async with serving(tmp_path, duration_s=0.0) as (_, url, backend):
            host, port = url.removeprefix("http://").split(":")
            for line, status in (
                (b"GET /v1/fleet HTTP/1.1\r\ncurrantstage-operator-key", b"403"),
                (b"POST /v1/queues/none HTTP/1.1\r\ncurrantstage-key", b"404"),
            ):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(line + b": \xff\xfe\r\ncontent-length: 0\r\n\r\n")
                assert status in await reader.readline()
                writer.close()
            assert backend.bodies == []

    uvloop.run(check())


def test_faulty_settings_exit_with_status_2(tmp_path):
    path = tmp_path / "bad.ini"
    path.write_text("[platform]\ncolour = red\n")
    status = os.spawnl(
        os.P_WAIT,
        sys.executable,
        *(sys.executable, "-m", "currantstage", "serve", "--config", str(path)),
    )
    assert status == 2
