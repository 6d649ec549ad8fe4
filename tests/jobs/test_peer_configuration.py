"""Which configuration is taken from peers, and at what cost."""

from __future__ import annotations

import asyncio
import random

from currantstage.application.jobs._directory import PeerDirectory
from currantstage.application.jobs._peer_configuration import (
    STATUS_SAMPLE_SIZE,
    PeerConfigurationSource,
)
from currantstage.protocol.jobs import (
    ConfigurationQuery,
    ConfigurationReply,
    ConfigurationStatus,
    ConfigurationStatusQuery,
    MemberRow,
    PeerQuery,
    PeerReply,
)
from currantstage.state import EntryVmId
from currantstage.state.jobs import ConfigurationVersion
from currantstage.transport import PeerFailure

NOW_S = 50.0


class FixedClock:
    def now_s(self) -> float:
        return NOW_S


class Peers:
    """Implements `PeerQueries`; has a version for each address that answers."""

    def __init__(self, versions: dict[str, int]) -> None:
        self.versions = versions
        self.transfers: list[str] = []
        self.failing_transfers: set[str] = set()

    async def send_query(
        self, address: str, query: PeerQuery, timeout_s: float
    ) -> PeerReply | PeerFailure:
        if address not in self.versions:
            return PeerFailure.NO_REPLY
        version = ConfigurationVersion(self.versions[address])
        if isinstance(query, ConfigurationStatusQuery):
            return ConfigurationStatus(version=version, confirmed_ago_s=version / 10)
        assert isinstance(query, ConfigurationQuery)
        self.transfers.append(address)
        if address in self.failing_transfers:
            return PeerFailure.NO_REPLY
        return ConfigurationReply(b"%d" % version)


def _source(peers: Peers, addresses: list[str]) -> PeerConfigurationSource:
    own = MemberRow(entry_vm=EntryVmId("own"), peer_address="own")
    directory = PeerDirectory(
        own,
        addresses,
        None,  # type: ignore[arg-type]
        peers,
        FixedClock(),
        random.Random(1),
    )
    return PeerConfigurationSource(directory, FixedClock())


def test_one_transfer_brings_the_newest_version() -> None:
    peers = Peers({"a": 3, "b": 9, "c": 9, "d": 4})
    source = _source(peers, ["a", "b", "c", "d", "silent"])
    answer = asyncio.run(source.query(ConfigurationVersion(2)))
    assert answer is not None
    assert (answer.version, answer.raw, len(peers.transfers)) == (9, b"9", 1)
    assert answer.confirmed_s == NOW_S - 0.9


def test_failed_transfer_is_tried_with_the_next_peer() -> None:
    peers = Peers({"a": 9, "b": 9})
    peers.failing_transfers = {"a"}
    answer = asyncio.run(_source(peers, ["a", "b"]).query(ConfigurationVersion(2)))
    assert answer is not None
    assert answer.raw == b"9"


def test_known_version_is_confirmed_without_a_transfer() -> None:
    peers = Peers({"a": 9})
    answer = asyncio.run(_source(peers, ["a"]).query(ConfigurationVersion(9)))
    assert answer is not None
    assert (answer.raw, peers.transfers) == (b"", [])


def test_every_peer_is_asked_within_one_round() -> None:
    addresses = [f"peer-{number}" for number in range(37)]
    rounds = -(-len(addresses) // STATUS_SAMPLE_SIZE)
    for informed in addresses:
        source = _source(Peers({informed: 9}), addresses)

        async def query(source: PeerConfigurationSource = source) -> list[object]:
            return [await source.query(ConfigurationVersion(2)) for _ in range(rounds)]

        assert any(asyncio.run(query()))
