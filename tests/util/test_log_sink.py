"""The log sink never blocks and stays within its rate limit."""

from __future__ import annotations

import os

import msgspec

from currantstage.util._log_sink import (
    BURST_LINES,
    LINES_PER_S,
    RESERVED_LINES,
    LogSink,
)


def _read_lines(descriptor: int) -> list[dict[str, object]]:
    os.set_blocking(descriptor, False)
    text = b""
    while True:
        try:
            part = os.read(descriptor, 1 << 20)
        except BlockingIOError:
            break
        if not part:
            break
        text += part
    return [msgspec.json.decode(line) for line in text.splitlines()]


def test_lines_beyond_the_rate_limit_are_dropped_and_counted() -> None:
    reader, writer = os.pipe()
    now_s = [0.0]
    sink = LogSink(writer, lambda: now_s[0])
    lines_read = []
    for number in range(BURST_LINES + 50):
        sink({"number": number})
        if number % 100 == 0:
            lines_read += _read_lines(reader)
    lines_read += _read_lines(reader)
    assert len(lines_read) == BURST_LINES
    now_s[0] = 10 / LINES_PER_S
    sink({"number": "later"})
    notice, line = _read_lines(reader)
    assert notice["count"] == 50
    assert line["number"] == "later"


def test_stalled_reader_does_not_block_the_writer() -> None:
    reader, writer = os.pipe()
    sink = LogSink(writer, lambda: 0.0)
    for number in range(BURST_LINES):
        sink({"number": number, "text": "x" * 200})
    lines = _read_lines(reader)
    assert 0 < len(lines) < BURST_LINES
    assert all("number" in line for line in lines)


def test_routine_lines_leave_room_for_lines_that_explain_a_decision() -> None:
    reader, writer = os.pipe()
    sink = LogSink(writer, lambda: 0.0, lambda line: line["message_type"] == "routine")
    lines_read = []
    for number in range(BURST_LINES):
        sink({"message_type": "routine", "number": number})
        if number % 100 == 0:
            lines_read += _read_lines(reader)
    lines_read += _read_lines(reader)
    assert len(lines_read) == BURST_LINES - RESERVED_LINES
    for number in range(RESERVED_LINES):
        sink({"message_type": "decision", "number": number})
        if number % 100 == 0:
            lines_read += _read_lines(reader)
    lines_read += _read_lines(reader)
    kinds = [line["message_type"] for line in lines_read]
    assert kinds.count("decision") == RESERVED_LINES
    assert "currantstage:log-lines-dropped" in kinds
