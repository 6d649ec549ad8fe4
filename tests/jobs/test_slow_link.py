"""Reads of the stored state over a network link that all calls share."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from urllib.parse import parse_qs, urlsplit

import msgspec

from currantstage.application.jobs._repository import JOB_PARTITIONS, JobRepository
from currantstage.platform import PlatformHttp, StoreClient
from currantstage.platform._http import CallFailure, ConnectionGroup, HttpReply
from tests.jobs.site import run_scenario

if TYPE_CHECKING:
    from collections.abc import Mapping

VERSION = 9


class SlowLink(PlatformHttp):
    """Answers reads of the store with rows that pass a link one after another.

    Parameters
    ----------
    rows_per_s : float
    keys : dict of str to list of str
        Keys of the stored rows, by partition.
    """

    def __init__(self, rows_per_s: float, keys: dict[str, list[str]]) -> None:
        super().__init__()
        self._row_s = 1 / rows_per_s
        self._keys = keys
        self._link = asyncio.Lock()

    async def call(
        self,
        method: str,
        url: str,
        timeout_s: float,
        *,
        body: object = None,
        headers: Mapping[str, str] | None = None,
        group: ConnectionGroup = ConnectionGroup.ORDERS,
    ) -> HttpReply | CallFailure:
        """Return one page of rows; calls at the same time take turns by row."""
        query = {name: each for name, (each,) in parse_qs(urlsplit(url).query).items()}
        first = query.get("From", "")
        rest = [key for key in self._keys[query["part"]] if key >= first]
        page = rest[: int(query["Limit"])]
        try:
            async with asyncio.timeout(timeout_s):
                for _ in page:
                    async with self._link:
                        await asyncio.sleep(self._row_s)
        except TimeoutError:
            return CallFailure.TIMEOUT
        rows = [
            {"Table": query["Table"], "part": query["part"], "Key": key, "Ver": 1}
            for key in page
        ]
        more = len(page) < len(rest)
        answer = {"rows": rows, "Ver": VERSION, "MorePages": more}
        return HttpReply(200, msgspec.json.encode(answer))


def test_partition_is_read_though_the_link_needs_longer_than_a_call_may_take() -> None:
    """A new scheduler timed out on one long page, and began to read again for ever."""

    async def scenario() -> None:
        keys = [f"{number:04}" for number in range(1000)]
        store = StoreClient(SlowLink(400, {"scheduler": keys}), "127.0.0.1:1")
        page = await store.read("progress", "scheduler")
        assert [row.name.key for row in page.rows] == keys

    run_scenario(scenario())


def test_jobs_are_read_though_the_link_needs_longer_than_a_call_may_take() -> None:
    """A new scheduler read all partitions at once, and each call timed out."""

    async def scenario() -> None:
        keys = {each: [f"{each}{n:03}" for n in range(60)] for each in JOB_PARTITIONS}
        store = StoreClient(SlowLink(400, keys), "127.0.0.1:1")
        jobs = await JobRepository(store).read_jobs()
        assert jobs.version == VERSION

    run_scenario(scenario())
