"""A job daemon on real sockets while the platform is unreachable."""

from __future__ import annotations

import asyncio
from typing import Any

import aiohttp
import pytest

from currantstage.application import StartError
from currantstage.application.jobs import JobDaemon
from currantstage.config import ConfigError, JobSettings, parse_settings
from tests.application.job_settings import free_listen_addresses, render_template


def _parse_template(*, has_advice: bool = True) -> JobSettings:
    settings = parse_settings(render_template(has_advice=has_advice))
    assert isinstance(settings, JobSettings)
    return settings


def test_deploy_template_holds_valid_settings() -> None:
    settings = _parse_template()
    assert settings.entry_vm.id == "entry-1"
    assert settings.entry_vm.link_mbps == 200.0
    assert (settings.entry_vm.cpu_share, settings.entry_vm.cpu_speed) == (0.717, 3.0)
    assert settings.peers.addresses == ("127.0.0.1:18191", "127.0.0.1:18199")
    assert settings.scheduler.owner_lease_ms > settings.scheduler.takeover_ms
    assert settings.scheduler.max_stop_ms == 900
    assert settings.scheduler.max_lease_ms == 10_000
    assert settings.configuration.apply_ms == 3000


def test_deploy_template_without_a_service_of_advice_holds_valid_settings() -> None:
    """The daemon did not start where the template leaves out the section."""
    assert _parse_template(has_advice=False).advice is None


@pytest.mark.parametrize(
    ("right", "wrong", "fault"),
    [
        ("address = 127.0.0.1:1", "address = somewhere", "is not IP:port"),
        ("max_drain_ms = 2000", "max_drain_ms = soon", "is not a number"),
        ("[callers]", "[caller]", "unknown section"),
    ],
)
def test_faulty_settings_are_reported(right: str, wrong: str, fault: str) -> None:
    with pytest.raises(ConfigError) as caught:
        parse_settings(render_template().replace(right, wrong, 1))
    assert any(fault in each for each in caught.value.faults)


def test_daemon_without_the_store_responds_and_is_not_ready() -> None:
    async def run() -> None:
        addresses = free_listen_addresses()
        own, _, front_address, readiness_address = addresses.values()
        text = render_template(addresses).replace(
            "balancer_notice_ms = 2300", "balancer_notice_ms = 1"
        )
        settings = parse_settings(text)
        assert isinstance(settings, JobSettings)
        daemon = JobDaemon.from_config(settings, seed=1)
        await daemon.start()
        try:
            async with aiohttp.ClientSession() as session:
                ready = f"http://{readiness_address}/currantstage/readyz"
                assert await _status(session, ready) == 503
                front = f"http://{front_address}/queue/0123456789abcdef"
                assert await _status(session, front) == 503
                job = f"http://{own}/v1/queues/q/jobs/0123456789abcdef"
                assert await _status(session, job) == 503
                metrics = await _text(session, f"http://{own}/metrics")
                assert "currantstage_is_scheduler 0.0" in metrics
        finally:
            await daemon.close()

    asyncio.run(run())


def test_address_in_use_prevents_the_start() -> None:
    async def run() -> None:
        addresses = free_listen_addresses()
        text = render_template(addresses).replace(
            "balancer_notice_ms = 2300", "balancer_notice_ms = 1"
        )
        host, _, port = addresses["Listen.Front"].partition(":")
        server = await asyncio.start_server(lambda *_: None, host, int(port))
        settings = parse_settings(text)
        assert isinstance(settings, JobSettings)
        try:
            with pytest.raises(StartError):
                await JobDaemon.from_config(settings, seed=1).start()
        finally:
            server.close()
            await server.wait_closed()
        # Nothing of the failed start is left in the process.
        daemon = JobDaemon.from_config(settings, seed=1)
        await daemon.start()
        await daemon.close()

    asyncio.run(run())


async def _status(session: aiohttp.ClientSession, url: str) -> int:
    async with session.get(url) as response:
        return response.status


async def _text(session: aiohttp.ClientSession, url: str) -> Any:
    async with session.get(url) as response:
        return await response.text()
