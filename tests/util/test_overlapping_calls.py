"""Calls that are sent again beside unanswered ones."""

from __future__ import annotations

import asyncio

import pytest

from currantstage.util import OverlappingCalls, record_arrival
from tests.jobs.site import run_scenario

NEVER_S = 1000.0


class _Server:
    """Answers each call with its number, after the time given for it."""

    def __init__(self, *durations_s: float) -> None:
        self.durations_s = list(durations_s)
        self.sent_s: list[float] = []
        self.late = 0
        self.failing: set[int] = set()

    async def call(self) -> int:
        number = len(self.sent_s)
        self.sent_s.append(asyncio.get_running_loop().time())
        await asyncio.sleep(self.durations_s[number])
        if number in self.failing:
            raise ConnectionError(number)
        return number

    def on_late(self) -> None:
        self.late += 1


def _first(server: _Server, max_calls: int = 2) -> int:
    answers: list[int] = []

    async def scenario() -> None:
        calls = OverlappingCalls(server.call, 1.0, max_calls, server.on_late)
        answers.append(await calls.first())

    run_scenario(scenario())
    return answers[0]


def test_answer_in_time_needs_one_call() -> None:
    server = _Server(0.9)
    assert _first(server) == 0
    assert (len(server.sent_s), server.late) == (1, 0)


def test_unanswered_call_costs_no_more_than_the_patience() -> None:
    server = _Server(NEVER_S, 0.1)
    assert _first(server) == 1
    assert server.sent_s[1] - server.sent_s[0] == pytest.approx(1.0)


def test_slow_answer_to_the_first_call_still_counts() -> None:
    server = _Server(1.5, NEVER_S)
    assert _first(server) == 0


def test_failure_of_one_call_leaves_the_others_to_answer() -> None:
    server = _Server(1.2, 0.5)
    server.failing = {0}
    assert _first(server) == 1


def test_failure_of_the_only_call_is_raised() -> None:
    server = _Server(0.1)
    server.failing = {0}
    with pytest.raises(ConnectionError):
        _first(server)


def test_no_more_calls_are_under_way_than_allowed() -> None:
    server = _Server(2.5, NEVER_S, 0.2)
    assert _first(server) == 2


class _ArrivingServer(_Server):
    """Sends parts of its answers until `arrives_until_s` of each call."""

    def __init__(self, *durations_s: float) -> None:
        super().__init__(*durations_s)
        self.arrives_until_s = NEVER_S

    async def call(self) -> int:
        loop = asyncio.get_running_loop()
        number = len(self.sent_s)
        self.sent_s.append(loop.time())
        while (age_s := loop.time() - self.sent_s[number]) < self.durations_s[number]:
            if age_s <= self.arrives_until_s:
                record_arrival(1500)
            await asyncio.sleep(0.1)
        return number


def test_call_whose_answer_keeps_arriving_is_not_sent_again() -> None:
    server = _ArrivingServer(20.0)
    assert _first(server) == 0
    assert (len(server.sent_s), server.late) == (1, 0)


def test_call_whose_answer_stops_arriving_is_sent_again() -> None:
    server = _ArrivingServer(NEVER_S, 0.5)
    server.arrives_until_s = 3.0
    assert _first(server) == 1
    assert server.sent_s[1] - server.sent_s[0] < 3.0 + 2 * 1.0 + 0.2


def test_answer_that_begins_ends_the_calls_that_wait_beside_it() -> None:
    server = _Server(1.5, NEVER_S)
    ended: list[int] = []

    async def call() -> int:
        number = len(server.sent_s)
        server.sent_s.append(asyncio.get_running_loop().time())
        try:
            await asyncio.sleep(1.5 if number == 0 else NEVER_S)
            record_arrival(1500)
            await asyncio.sleep(0.5)
        except asyncio.CancelledError:
            ended.append(number)
            raise
        assert ended == [1]
        return number

    async def scenario() -> None:
        assert await OverlappingCalls(call, 1.0, 2, server.on_late).first() == 0

    run_scenario(scenario())
