"""Tests of the job report from log lines."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

import pytest
from click.testing import CliRunner

from currantstage.cmd import main
from currantstage.cmd._job_report import JobPhase, read_breakdowns, render_report

if TYPE_CHECKING:
    from pathlib import Path

ACCEPTED = {"job": "aa", "queue": "q", "team": "t", "outcome": "accepted"}
REFUSED = {"job": "bb", "queue": "q", "team": "u", "outcome": "unavailable"}


def _line(event: str, timestamp_s: float, **fields: object) -> str:
    record = {
        **fields,
        "timestamp": timestamp_s,
        "message_type": f"currantstage:{event}",
    }
    return f"entry-1 {json.dumps(record)}"


def _start(timestamp_s: float, index: int, run: int, outcome: str = "accepted") -> str:
    return _line(
        "task-start", timestamp_s, task=f"aa.0.0.{index}", run=run, outcome=outcome
    )


def _end(timestamp_s: float, index: int, run: int) -> str:
    return _line("task-end", timestamp_s, task=f"aa.0.0.{index}", run=run)


LINES = (
    _line("job-submitted", 10.0, **ACCEPTED),
    _start(10.5, 0, 1),
    _start(10.6, 1, 1, "unknown"),
    _line("job-submitted", 11.0, **REFUSED),
    _end(12.0, 0, 1),
    _start(15.0, 1, 2),
    _end(16.5, 1, 2),
    _line("job-ended", 16.75, job="aa", state="completed"),
    _end(18.0, 1, 2),
)


def test_job_duration_is_broken_down_by_phase() -> None:
    (job,) = read_breakdowns(reversed(LINES))
    assert job.state == "completed"
    assert job.total_s == pytest.approx(6.75)
    assert job.phase_durations_s == {
        JobPhase.WAITING: pytest.approx(0.5),
        JobPhase.RUNNING: pytest.approx(1.5),
        JobPhase.BETWEEN: pytest.approx(3.0),
        JobPhase.RERUNNING: pytest.approx(1.5),
        JobPhase.FINISHING: pytest.approx(0.25),
    }


def test_report_has_a_row_for_each_group() -> None:
    rows = render_report(read_breakdowns(LINES), "team").splitlines()
    assert [row.split()[0] for row in rows] == ["team", "t", "slowest"]


def test_command_reads_log_files(tmp_path: Path) -> None:
    log = tmp_path / "entry.log"
    log.write_text("\n".join(LINES))
    result = CliRunner().invoke(main, ["job", "report", "--by", "queue", str(log)])
    assert result.exit_code == 0
    assert result.output.splitlines()[1].split()[:3] == ["q", "1", "1"]


def test_command_fails_if_the_logs_contain_no_job(tmp_path: Path) -> None:
    log = tmp_path / "entry.log"
    log.write_text("nothing\n")
    result = CliRunner().invoke(main, ["job", "report", str(log)])
    assert result.exit_code != 0
    assert "no job" in result.output
