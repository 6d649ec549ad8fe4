"""The newest configuration that peers have, while the store does not answer."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from currantstage.protocol.jobs import (
    ConfigurationQuery,
    ConfigurationReply,
    ConfigurationStatus,
    ConfigurationStatusQuery,
)
from currantstage.state.jobs import ConfigurationVersion

if TYPE_CHECKING:
    from currantstage.application.jobs._directory import PeerDirectory
    from currantstage.state import Clock

#: Number of peers that are asked for their version at once.
STATUS_SAMPLE_SIZE = 8
#: Time without progress after which the transfer of a configuration is given up, in
#: seconds.
TRANSFER_TIMEOUT_S = 1.0


@dataclass(frozen=True, slots=True)
class PeerConfiguration:
    """What some peers know of the configuration.

    Parameters
    ----------
    version : ConfigurationVersion
        The newest version among them.
    raw : bytes
        That configuration or a later one; empty if it is not newer than what was asked
        for, or could not be transferred.
    confirmed_s : float
        When the store last confirmed that version to one of them, on the own clock.
    """

    version: ConfigurationVersion
    raw: bytes
    confirmed_s: float


class PeerConfigurationSource:
    """Asks peers in turn, so that every one of them has been asked after some rounds.

    Their versions are compared before one configuration is transferred.

    Parameters
    ----------
    directory : PeerDirectory
    clock : Clock
    """

    def __init__(self, directory: PeerDirectory, clock: Clock) -> None:
        self._directory = directory
        self._clock = clock

    async def query(self, newer_than: ConfigurationVersion) -> PeerConfiguration | None:
        """Return the newest configuration of the next peers; None if none has one."""
        asked_s = self._clock.now_s()
        replies = await self._directory.query_next_peers(
            ConfigurationStatusQuery(), STATUS_SAMPLE_SIZE
        )
        versions: dict[str, ConfigurationVersion] = {}
        confirmed_s: dict[str, float] = {}
        for address, reply in replies.items():
            if isinstance(reply, ConfigurationStatus) and reply.version is not None:
                versions[address] = reply.version
                if reply.confirmed_ago_s is not None:
                    confirmed_s[address] = asked_s - reply.confirmed_ago_s
        if not versions:
            return None
        newest = max(versions.values())
        sources = [each for each in versions if versions[each] == newest]
        return PeerConfiguration(
            newest,
            await self._transfer(sources, newer_than) if newest > newer_than else b"",
            max(confirmed_s.get(each, float("-inf")) for each in sources),
        )

    async def _transfer(
        self, sources: list[str], newer_than: ConfigurationVersion
    ) -> bytes:
        """Return the configuration of the first of `sources` that sends it."""
        for address in sources:
            reply = await self._directory.send_query(
                address, ConfigurationQuery(newer_than), TRANSFER_TIMEOUT_S
            )
            if isinstance(reply, ConfigurationReply) and reply.value:
                return reply.value
        return b""
