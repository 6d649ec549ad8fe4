"""What a trial has shown."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from currantstage.standin.served._log_check import Activity

if TYPE_CHECKING:
    from currantstage.standin.served._standstill import Standstill
    from currantstage.state.jobs import JobId, JobState

#: Number of findings of one kind that a report lists.
MAX_LISTED = 10


@dataclass(slots=True)
class TrialReport:
    """Findings of a trial, and the figures that put them in relation.

    Parameters
    ----------
    standstills : list of Standstill
        Jobs that stood still with room for them.
    violations : list of str
        What the workers saw that must not happen, such as a task that runs twice.
    unfinished : dict
        Accepted jobs that are not completed at the end, with their last known state.
    unasked_ends : list of str
        Daemons that have ended by themselves.
    log_faults : list of str
        Lines of the daemons' logs that show a fault.
    failed_tasks : int
        Background tasks of the trial itself that have failed.
    most_blocked : Activity
        The second in which the most workers took no tasks.
    """

    submitted: int = 0
    accepted: int = 0
    refused: int = 0
    unknown: int = 0
    vm_orders: int = 0
    standstills: list[Standstill] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    unfinished: dict[JobId, JobState | None] = field(default_factory=dict)
    unasked_ends: list[str] = field(default_factory=list)
    log_faults: list[str] = field(default_factory=list)
    failed_tasks: int = 0
    most_blocked: Activity = field(default_factory=Activity)

    def findings(self) -> list[str]:
        """Return a line for each finding."""
        return [line for group in self._groups() for line in group]

    def render(self) -> str:
        """Return the report as text."""
        longest_s = max((each.duration_s for each in self.standstills), default=0.0)
        lines = [
            f"jobs: {self.submitted} submitted, {self.accepted} accepted, "
            f"{self.refused} refused, {self.unknown} unknown; "
            f"{self.vm_orders} orders for VMs carried out",
            f"stood still with room: {len(self.standstills)} jobs, "
            f"for {longest_s:.2f} s at most",
            f"workers that take no tasks: {self.most_blocked.blocked_count} of "
            f"{self.most_blocked.workers} at most ({self._blocked_reasons()})",
            f"violations: {len(self.violations)}; not completed: "
            f"{len(self.unfinished)}; ended by themselves: {len(self.unasked_ends)}; "
            f"log faults: {len(self.log_faults)}",
        ]
        for group in self._groups():
            lines += group[:MAX_LISTED]
            if len(group) > MAX_LISTED:
                lines.append(f"and {len(group) - MAX_LISTED} more of these")
        return "\n".join(lines)

    def _blocked_reasons(self) -> str:
        reasons = self.most_blocked.blocked_workers.items()
        return ", ".join(f"{count} {reason}" for reason, count in reasons) or "none"

    def _groups(self) -> list[list[str]]:
        """Return the lines of all findings, by kind."""
        standstills = [
            f"LOST: {each.job} of {each.pool} stood still for {each.duration_s:.2f}"
            f" s from {each.start_s:.2f} s on"
            for each in self.standstills
        ]
        unfinished = [
            f"LOST: {job} is {state.value if state else 'unknown'} at the end"
            for job, state in self.unfinished.items()
        ]
        failed = [f"{self.failed_tasks} tasks of the trial itself have failed"]
        return [
            standstills,
            self.violations,
            unfinished,
            self.unasked_ends,
            self.log_faults,
            failed if self.failed_tasks else [],
        ]
