"""Tests of job timelines from log lines."""

from __future__ import annotations

from currantstage.cmd._job_timeline import read_timeline, render_timeline

LOG = """
entry-2 {"job":"aa","outcome":"accepted","timestamp":10.0,"message_type":"currantstage:job-submitted"}
entry-1 {"term":1,"timestamp":5.0,"message_type":"currantstage:lease-taken"}
entry-1 {"task":"aa.0.0.1","outcome":"accepted","timestamp":10.2,"message_type":"currantstage:task-start"}
entry-3 {"term":2,"timestamp":11.0,"message_type":"currantstage:lease-taken"}
entry-3 {"task":"bb.0.0.1","timestamp":11.1,"message_type":"currantstage:task-start"}
entry-3 {"job":"aa","state":"completed","timestamp":12.5,"message_type":"currantstage:job-ended"}
not a log line {
"""


def test_timeline_contains_job_and_scheduler_events() -> None:
    entries = read_timeline(LOG.splitlines(), "aa")
    kinds = [entry.event for entry in entries]
    assert kinds == ["job-submitted", "task-start", "lease-taken", "job-ended"]
    assert render_timeline(entries).splitlines()[-1].startswith("   2.500  job-ended")


def test_unknown_job_has_no_timeline() -> None:
    assert read_timeline(LOG.splitlines(), "cc") == []
    assert "no line" in render_timeline([])
