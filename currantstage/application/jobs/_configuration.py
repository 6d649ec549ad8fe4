"""Tracking of the operators' configuration, from the store or else from peers."""

from __future__ import annotations

import asyncio
import math
from functools import partial
from typing import TYPE_CHECKING, Protocol

from eliot import log_message

from currantstage.application.jobs._change_feed import (
    CHANGES_WAIT_MS,
    MAX_POLLS,
    POLL_PATIENCE_S,
)
from currantstage.application.jobs._configuration_feed import ConfigurationFeed
from currantstage.coordination.jobs import Confirmation
from currantstage.protocol.jobs import ConfigurationStatus
from currantstage.state.jobs import (
    ConfigurationVersion,
    FleetConfiguration,
    MaintenanceWave,
    StoreUnavailable,
)
from currantstage.util import (
    Notifier,
    OverlappingCalls,
    SupervisedTask,
    TaskSet,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from currantstage.application.jobs._configuration_feed import (
        FeedAnswer,
        TransferCounts,
    )
    from currantstage.application.jobs._peer_configuration import PeerConfiguration
    from currantstage.state import Clock
    from currantstage.state.jobs import OperatorSource

#: Pause after a failed read from the store, in seconds.
RETRY_S = 0.25
#: Pause between questions to peers, in seconds; all peers of a large fleet have been
#: asked after a few.
PEERS_INTERVAL_S = 0.5

#: Time after which a check asks peers as well, in seconds.
CHECK_PATIENCE_S = 0.2

_NO_VERSION = ConfigurationVersion(-1)
#: Later than all versions, so that no peer has a configuration newer than it.
_NEWEST_VERSION = ConfigurationVersion(2**63 - 1)


class ConfigurationPeers(Protocol):
    """What other daemons know of the configuration."""

    async def query(self, newer_than: ConfigurationVersion) -> PeerConfiguration | None:
        """Return the newest configuration of some peers; None if none has one."""


class ConfigurationFollower:
    """Keeps the newest configuration; never reverts to an older one.

    Parameters
    ----------
    source : OperatorSource
    peers : ConfigurationPeers
    clock : Clock
    """

    def __init__(
        self,
        source: OperatorSource,
        peers: ConfigurationPeers,
        clock: Clock,
    ) -> None:
        self._source = source
        self._peers = peers
        self._clock = clock
        self._confirmation = Confirmation()
        self._current: FleetConfiguration | None = None
        self._raw = b""
        self._waves: dict[int, MaintenanceWave] = {}
        self._listeners: list[Callable[[], None]] = []
        self._feed = ConfigurationFeed(source, clock)
        self._polls = OverlappingCalls(
            partial(self._feed.poll, CHANGES_WAIT_MS),
            POLL_PATIENCE_S,
            MAX_POLLS,
            self._on_late_poll,
        )
        self._confirmed = Notifier()
        self._checks = TaskSet()
        self._is_checking = False
        self._newest_known = _NO_VERSION
        # Set while the store has not answered in time, or peers know a newer version.
        self._peers_needed = asyncio.Event()
        self._tasks = (
            SupervisedTask("configuration", self._follow_store),
            SupervisedTask("configuration-peers", self._follow_peers),
        )

    @property
    def current(self) -> FleetConfiguration | None:
        """The configuration in force; None until one has been received."""
        return self._current

    @property
    def waves(self) -> tuple[MaintenanceWave, ...]:
        """All waves that operators have announced."""
        return tuple(self._waves.values())

    def status(self) -> ConfigurationStatus:
        """Return what a peer is told about the configuration in force."""
        return ConfigurationStatus(
            version=self._current.version if self._current else None,
            confirmed_ago_s=loggable_age_s(self.confirmed_age_s()),
        )

    @property
    def is_readable(self) -> bool:
        """Whether the stored configuration could be decoded when it was last read."""
        return self._feed.is_readable

    @property
    def transfers(self) -> TransferCounts:
        """Polls of the store since the start, and their size."""
        return self._feed.transfers

    def confirmed_age_s(self) -> float:
        """Return the time since the store last confirmed the configuration in force."""
        return self._confirmation.age_s(self._clock.now_s())

    @property
    def confirmed_s(self) -> float:
        """When the store last confirmed the configuration in force as the newest."""
        return self._confirmation.confirmed_s

    @property
    def newest_known(self) -> ConfigurationVersion:
        """The newest version that this daemon has heard of."""
        return max(self._newest_known, self._version_in_force())

    def is_receiving(self) -> bool:
        """Return whether an answer of the store is arriving, but not complete."""
        return self._polls.is_arriving()

    def is_outdated(self) -> bool:
        """Return whether a newer version than the one in force is known to exist."""
        return (
            self.is_receiving() or not self._feed.is_readable or self._is_behind_peers()
        )

    def note_version(self, version: ConfigurationVersion) -> None:
        """Record that a peer has `version`, and read from peers if it is newer."""
        self._newest_known = max(self._newest_known, version)
        if self._is_behind_peers():
            self._peers_needed.set()
            self._confirmed.notify_all()

    async def confirm(self, max_age_s: float, patience_s: float) -> None:
        """Let the store or a peer confirm that the configuration is the newest.

        Returns when a confirmation is at most `max_age_s` older than this call, when a
        peer has shown a newer version, or after `patience_s`. A newer configuration
        that the store has comes into force. All calls that wait share one check.
        """
        now_s = self._clock.now_s()
        needed_s, until_s = now_s - max_age_s, now_s + patience_s
        while not self._confirmation.is_as_of(needed_s):
            self.start_check()
            left_s = until_s - self._clock.now_s()
            if left_s <= 0 or self._is_behind_peers():
                return
            await self._confirmed.wait(left_s)

    def start_check(self) -> None:
        """Ask for a confirmation without waiting for it, unless one is on its way."""
        if not self._is_checking and not self.is_receiving():
            self._is_checking = True
            self._checks.spawn(self._check())

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Call `listener` after each change."""
        self._listeners.append(listener)

    def newer_than(self, version: ConfigurationVersion) -> bytes | None:
        """Return the raw configuration if it is newer than `version`."""
        if self._current is None or self._current.version <= version:
            return None
        return self._raw

    async def start(self) -> None:
        """Start tracking changes."""
        for task in self._tasks:
            task.start()

    async def close(self) -> None:
        """Stop tracking changes."""
        for task in self._tasks:
            await task.close()
        await self._checks.close()

    async def _follow_store(self) -> None:
        while True:
            try:
                answer = await self._polls.first()
            except StoreUnavailable as error:
                self._peers_needed.set()
                self._log_unread(str(error))
                await asyncio.sleep(RETRY_S)
                continue
            self._apply(answer)
            if not self._is_behind_peers():
                self._peers_needed.clear()

    async def _follow_peers(self) -> None:
        while True:
            await self._peers_needed.wait()
            if not self.is_receiving():
                await self._read_from_peers()
            await asyncio.sleep(PEERS_INTERVAL_S)

    async def _check(self) -> None:
        """Ask the store without waiting for changes, and peers if it is late."""
        try:
            await asyncio.gather(self._check_with_store(), self._check_with_peers())
        finally:
            self._is_checking = False

    async def _check_with_store(self) -> None:
        try:
            self._apply(await self._feed.poll(wait_ms=0))
        except StoreUnavailable as error:
            self._log_unread(str(error))

    async def _check_with_peers(self) -> None:
        """Ask peers for their versions, without a transfer."""
        if await self._confirmed.wait(CHECK_PATIENCE_S):
            return
        answer = await self._peers.query(_NEWEST_VERSION)
        if answer is not None:
            self._compare(answer)

    def _on_late_poll(self) -> None:
        self._peers_needed.set()
        self._log_unread("no answer in time")

    def _log_unread(self, reason: str) -> None:
        log_message(
            "currantstage:configuration-unread",
            reason=reason,
            version=self._current.version if self._current else None,
            confirmed_ago_s=loggable_age_s(self.confirmed_age_s()),
        )

    def _apply(self, answer: FeedAnswer) -> None:
        self._feed.advance(answer)
        changes = answer.changes
        if changes is None:
            return
        for wave in changes.waves:
            self._waves[wave.number] = wave
        if changes.configuration is not None:
            self._adopt(changes.configuration, changes.raw_configuration, "store")
        if changes.waves:
            self._notify_listeners()
        if self._feed.is_readable:
            self._confirm(answer.asked_s)

    async def _read_from_peers(self) -> None:
        answer = await self._peers.query(self._version_in_force())
        if answer is None:
            return
        configuration = self._source.decode(answer.raw) if answer.raw else None
        if configuration is not None:
            self._adopt(configuration, answer.raw, "peer")
        self._compare(answer)

    def _compare(self, answer: PeerConfiguration) -> None:
        """Learn from what peers have whether the own version is the newest."""
        self.note_version(answer.version)
        if self._version_in_force() >= answer.version:
            self._confirm(answer.confirmed_s)

    def _confirm(self, asked_s: float) -> None:
        self._confirmation.confirm(asked_s)
        self._confirmed.notify_all()

    def _is_behind_peers(self) -> bool:
        return self._newest_known > self._version_in_force()

    def _version_in_force(self) -> ConfigurationVersion:
        return self._current.version if self._current else _NO_VERSION

    def _adopt(
        self, configuration: FleetConfiguration, raw: bytes, source: str
    ) -> None:
        if self._current and configuration.version <= self._current.version:
            return
        log_message(
            "currantstage:configuration-in-force",
            version=configuration.version,
            earlier=self._current.version if self._current else None,
            source=source,
            size_bytes=len(raw),
            earlier_confirmed_ago_s=loggable_age_s(self.confirmed_age_s()),
        )
        self._current = configuration
        self._raw = raw
        self._notify_listeners()

    def _notify_listeners(self) -> None:
        for listener in self._listeners:
            listener()


def loggable_age_s(age_s: float | None) -> float | None:
    """Return an age rounded to milliseconds; None if there has been no answer yet."""
    if age_s is None or not math.isfinite(age_s):
        return None
    return round(age_s, 3)
