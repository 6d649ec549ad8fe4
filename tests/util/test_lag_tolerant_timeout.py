"""Timeouts while the event loop is late."""

from __future__ import annotations

import asyncio
import socket
import time
from typing import TYPE_CHECKING

import pytest
import uvloop

from currantstage.standin.jobs import VirtualTimeLoop
from currantstage.util import LagTolerantTimeout, LoopLagMeter
from currantstage.util._lag_tolerant_timeout import LAG_INTERVAL_S, MAX_EXTENSION_S

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Coroutine
    from typing import Any

TIMEOUT_S = 0.2
TURN_S = 0.05
#: Turns of the loop that a call takes: to send, to read and to resume its caller.
TURNS_OF_A_CALL = 2


async def _read_with_timeout(work: Callable[[], Awaitable[None]]) -> bytes:
    """Return what is read, after `work`, from a socket that has an answer at once."""
    meter = LoopLagMeter()
    await meter.start()
    own, other = socket.socketpair()
    own.setblocking(False)
    reader, writer = await asyncio.open_connection(sock=own)
    try:
        other.sendall(b"answer")
        async with LagTolerantTimeout(meter, TIMEOUT_S):
            await asyncio.ensure_future(work())
            return await reader.read(100)
    finally:
        await meter.close()
        writer.close()
        other.close()


async def _lag() -> None:
    time.sleep(2 * TIMEOUT_S)  # noqa: ASYNC251


async def _lag_by_turns() -> None:
    for _ in range(2):
        time.sleep(0.8 * TIMEOUT_S)  # noqa: ASYNC251
        await asyncio.sleep(0)


@pytest.mark.parametrize("run", [asyncio.run, uvloop.run])
@pytest.mark.parametrize("work", [_lag, _lag_by_turns])
def test_answer_that_arrived_while_the_loop_was_late_is_read(
    run: Callable[[Coroutine[Any, Any, bytes]], bytes],
    work: Callable[[], Awaitable[None]],
) -> None:
    """Late schedulers took all of their workers for silent."""
    assert run(_read_with_timeout(work)) == b"answer"


def _silence_s(lag_s: float) -> float:
    """Return, in virtual time, when silence is noticed by a loop that lags by turns."""
    loop = VirtualTimeLoop()

    async def lag_forever() -> None:
        while True:
            await asyncio.sleep(TURN_S)
            loop.advance(lag_s)

    async def measure() -> float:
        meter = LoopLagMeter()
        await meter.start()
        lagging = asyncio.create_task(lag_forever())
        begun_s = loop.time()
        with pytest.raises(TimeoutError):
            async with LagTolerantTimeout(meter, TIMEOUT_S):
                await asyncio.Event().wait()
        lagging.cancel()
        await meter.close()
        return loop.time() - begun_s

    try:
        return loop.run_until_complete(measure())
    finally:
        loop.close()


def test_loop_in_time_notices_silence_at_the_timeout() -> None:
    assert _silence_s(lag_s=0.0) == pytest.approx(TIMEOUT_S)


def test_loop_with_negligible_lag_notices_silence_within_one_turn() -> None:
    assert _silence_s(lag_s=0.001) <= TIMEOUT_S + TURN_S


@pytest.mark.parametrize("lag_s", [0.03, 0.1, 0.3, 1.0])
def test_late_loop_notices_silence_within_the_longest_extension(lag_s: float) -> None:
    """Guards against a late scheduler that waits for a silent worker for long."""
    turn_s = TURN_S + lag_s
    limit_s = TIMEOUT_S + MAX_EXTENSION_S + 2 * turn_s
    assert TIMEOUT_S < _silence_s(lag_s) <= limit_s


def test_answer_is_read_by_a_loop_whose_turns_are_longer_than_the_timeout() -> None:
    """A loop that was late all the time read no answer of some workers for 13 s."""
    turn_s = 5 * TIMEOUT_S
    loop = VirtualTimeLoop()

    async def call() -> str:
        meter = LoopLagMeter()
        await meter.start()
        try:
            async with LagTolerantTimeout(meter, TIMEOUT_S):
                for _ in range(TURNS_OF_A_CALL):
                    loop.advance(turn_s)
                    await asyncio.sleep(LAG_INTERVAL_S)
                return "answer"
        finally:
            await meter.close()

    try:
        assert loop.run_until_complete(call()) == "answer"
    finally:
        loop.close()
