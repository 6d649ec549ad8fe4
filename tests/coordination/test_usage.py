"""Usage that entry VMs tell one another."""

from __future__ import annotations

import pytest

from currantstage.coordination.limits import USAGE_EXPIRY_S, UsageBoard, UsageReport

USAGE = {"q": {"t": 4.0}}


def hear(board, number, slots, *, now_s=0.0, incarnation="e2-1"):
    report = UsageReport(number=number, running_slots={"q": {"t": slots}})
    board.hear(now_s, "e2", incarnation, report)


def test_old_and_doubled_reports_change_nothing():
    board = UsageBoard()
    hear(board, 2, 5.0)
    hear(board, 1, 9.0)
    hear(board, 2, 9.0)
    assert board.elsewhere_slots(0.0, "q", "t") == 5.0


def test_a_restarted_peer_is_heard_again():
    board = UsageBoard()
    hear(board, 7, 5.0)
    hear(board, 1, 1.0, incarnation="e2-2")
    assert board.elsewhere_slots(0.0, "q", "t") == 1.0


def test_a_silent_peer_counts_no_more():
    board = UsageBoard()
    hear(board, 1, 5.0)
    assert board.elsewhere_slots(USAGE_EXPIRY_S, "q", "t") == 0.0


def test_usage_is_averaged_and_fades():
    board = UsageBoard()
    assert board.report(0.0, USAGE).running_slots == USAGE
    faded = board.report(4.0, {}).running_slots["q"]["t"]
    assert faded == pytest.approx(4.0 / 2.718281828)
    assert board.report(100.0, {}).running_slots == {"q": {}}
