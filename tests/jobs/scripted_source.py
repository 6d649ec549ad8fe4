"""A source of operators' changes that tests script, and a follower of it."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import msgspec

from currantstage.application.jobs._configuration import ConfigurationFollower
from currantstage.standin.jobs import build_configuration
from currantstage.standin.jobs._virtual_loop import LoopClock
from currantstage.state.jobs import (
    ConfigurationVersion,
    FleetConfiguration,
    OperatorChanges,
    StoreUnavailable,
)

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

#: Time after which the store's client gives up a read of changes.
CLIENT_TIMEOUT_S = 3.5


class ScriptedSource:
    """Implements `OperatorSource`; loses what is sent before `answers_from_s`."""

    def __init__(self) -> None:
        self.configuration = build_configuration(1)
        self.answers_from_s = 0.0
        self.answers_until_s = float("inf")
        self.errors: list[Exception] = []
        self.is_malformed = False
        self._changed = asyncio.Event()

    def write(self, version: ConfigurationVersion) -> None:
        self.configuration = build_configuration(version)
        self._changed.set()

    async def read(self) -> OperatorChanges:
        await self._reach()
        return self._changes()

    async def changes(self, after: int, wait_ms: int) -> OperatorChanges | None:
        await self._reach()
        if self.errors:
            raise self.errors.pop()
        if self.configuration.version <= after:
            self._changed.clear()
            try:
                await asyncio.wait_for(self._changed.wait(), wait_ms / 1000)
            except TimeoutError:
                return OperatorChanges(None, b"", (), after)
        return self._changes()

    def decode(self, raw_configuration: bytes) -> FleetConfiguration | None:
        return msgspec.json.decode(raw_configuration, type=FleetConfiguration)

    async def write_wave_state(self, wave: int, *, is_completed: bool) -> None:
        raise NotImplementedError

    async def _reach(self) -> None:
        if not self.answers_from_s <= now_s() < self.answers_until_s:
            await asyncio.sleep(CLIENT_TIMEOUT_S)
            raise StoreUnavailable("timeout", is_in_doubt=False)

    def _changes(self) -> OperatorChanges:
        if self.is_malformed:
            version = int(self.configuration.version)
            return OperatorChanges(None, b"", (), version, is_malformed=True)
        raw = msgspec.json.encode(self.configuration)
        return OperatorChanges(
            self.configuration, raw, (), int(self.configuration.version)
        )


class NoPeers:
    """Peers that know nothing."""

    async def query(self, newer_than: ConfigurationVersion) -> None:
        return None


@asynccontextmanager
async def following(source: ScriptedSource) -> AsyncIterator[ConfigurationFollower]:
    follower = ConfigurationFollower(source, NoPeers(), LoopClock())
    await follower.start()
    try:
        await asyncio.sleep(0.5)
        yield follower
    finally:
        await follower.close()


def now_s() -> float:
    return asyncio.get_running_loop().time()


def version_in_force(follower: ConfigurationFollower) -> ConfigurationVersion:
    assert follower.current is not None
    return follower.current.version
