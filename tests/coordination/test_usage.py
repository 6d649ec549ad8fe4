"""Team usage that entry VMs report to each other."""

from __future__ import annotations

import pytest

from currantstage.coordination.limits import USAGE_EXPIRY_S, UsageReport, UsageTracker

USAGE = {"q": {"t": 4.0}}


def receive(tracker, number, slots, *, now_s=0.0, incarnation="e2-1"):
    report = UsageReport(number=number, running_slots={"q": {"t": slots}})
    tracker.receive(now_s, "e2", incarnation, report)


def test_old_and_duplicate_reports_are_ignored():
    tracker = UsageTracker()
    receive(tracker, 2, 5.0)
    receive(tracker, 1, 9.0)
    receive(tracker, 2, 9.0)
    assert tracker.remote_slots(0.0, "q", "t") == 5.0


def test_reports_of_a_restarted_peer_are_accepted():
    tracker = UsageTracker()
    receive(tracker, 7, 5.0)
    receive(tracker, 1, 1.0, incarnation="e2-2")
    assert tracker.remote_slots(0.0, "q", "t") == 1.0


def test_the_report_of_a_silent_peer_expires():
    tracker = UsageTracker()
    receive(tracker, 1, 5.0)
    assert tracker.remote_slots(USAGE_EXPIRY_S, "q", "t") == 0.0


def test_usage_is_averaged_and_decays():
    tracker = UsageTracker()
    assert tracker.report(0.0, USAGE).running_slots == USAGE
    decayed = tracker.report(4.0, {}).running_slots["q"]["t"]
    assert decayed == pytest.approx(4.0 / 2.718281828)
    assert tracker.report(100.0, {}).running_slots == {"q": {}}
