"""Measure allotments of upper limits: adherence, utilisation, messages and writes.

Example: python -m bench.limits --seed 1
"""

from __future__ import annotations

import random
from dataclasses import dataclass

import click

from currantstage.coordination.limits import AllotmentMessage, Peer
from currantstage.coordination.store import Transact
from currantstage.protocol import PeerFrame, encode_frame
from currantstage.state import EntryVmId, IncarnationId, ResourceId
from tests.allotments import Site

ENTRY_VMS = 8
STEP_S = 0.01
SETTLE_STEPS = 100
EXCHANGE_STEPS = 50
REQUEST_STEPS = 5
MEAN_WORK_S = 0.2


@dataclass(frozen=True)
class Scenario:
    """One run.

    Parameters
    ----------
    name : str
    limit_slots : int
        Upper limit of each team, in slots.
    teams : int
    demanding : int
        Number of entry VMs at which each team has more work than it may run.
    shift_s : float
        Interval at which the work moves to other entry VMs, in seconds.
    loss : float
        Probability that a message is lost, equal to that of its duplication.
    duration_s : float
    """

    name: str
    limit_slots: int
    teams: int = 6
    demanding: int = 1
    shift_s: float = 2.0
    loss: float = 0.0
    duration_s: float = 20.0


@dataclass
class Result:
    """Measurements of one run."""

    starts: int = 0
    starts_above_limit: int = 0
    used_slot_steps: int = 0
    steps: int = 0
    messages: int = 0
    frame_bytes: int = 0
    writes: int = 0


SCENARIOS = (
    *(Scenario(f"one entry VM, limit {n}", n, shift_s=60) for n in (1, 2, 4, 8, 24)),
    *(Scenario(f"moves every 2 s, limit {n}", n) for n in (1, 4, 24)),
    Scenario("two of eight contend, limit 1", 1, demanding=2),
    Scenario("all contend, limit 24", 24, demanding=ENTRY_VMS),
    Scenario("moves, limit 4, 10% lost, 10% doubled", 4, loss=0.1),
)


class Run:
    """Drives the nodes of one scenario step by step."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario = scenario
        self.random = random.Random(seed)
        self.teams = [ResourceId(f"team/{n}") for n in range(scenario.teams)]
        self.site = Site(dict.fromkeys(self.teams, scenario.limit_slots))
        self.nodes = self.site.start_all(ENTRY_VMS)
        self.running = dict.fromkeys(self.teams, 0)
        self.work = []
        self.result = Result()

    def run(self) -> Result:
        """Run the scenario; return its measurements without the first settlements."""
        self.site.store.calls.clear()
        self.site.messages_sent = 0
        for step in range(int(self.scenario.duration_s / STEP_S)):
            self.site.now_s = step * STEP_S
            self.deliver()
            self.finish()
            self.start_demand(step)
            self.tick(step)
            self.result.steps += 1
            self.result.used_slot_steps += sum(self.running.values())
        self.result.messages = self.site.messages_sent
        calls = self.site.store.calls
        self.result.writes = sum(isinstance(call, Transact) for call in calls)
        return self.result

    def deliver(self) -> None:
        """Deliver the messages that were sent in the previous step."""
        for sender, receiver, message in self._take_messages():
            self.result.frame_bytes += frame_bytes(sender, receiver, message)
            for _ in range(self._copies()):
                self.site.network.insert(0, (sender, receiver, message))
                self.site.deliver()

    def finish(self) -> None:
        """End the work whose end time has passed."""
        due = [each for each in self.work if each[0] <= self.site.now_s]
        self.work = [each for each in self.work if each[0] > self.site.now_s]
        for _, node, team in due:
            self.running[team] -= 1
            node.release(team)

    def start_demand(self, step: int) -> None:
        """Start as much work as permitted at the entry VMs where teams have work."""
        first = int(step * STEP_S / self.scenario.shift_s) * 3
        for number, team in enumerate(self.teams):
            for offset in range(self.scenario.demanding):
                node = self.nodes[(first + number + offset) % ENTRY_VMS]
                while node.acquire(team):
                    self.record_start(node, team)

    def record_start(self, node, team: ResourceId) -> None:
        """Record the start of one piece of work."""
        self.running[team] += 1
        self.result.starts += 1
        above = self.running[team] > self.scenario.limit_slots
        self.result.starts_above_limit += above
        end_s = self.site.now_s + self.random.expovariate(1 / MEAN_WORK_S)
        self.work.append((end_s, node, team))

    def tick(self, step: int) -> None:
        """Run the periodic actions of every node, staggered by node."""
        for index, node in enumerate(self.nodes):
            if (step + index) % REQUEST_STEPS == 0:
                node.request_slots()
            if (step + 7 * index) % EXCHANGE_STEPS == 0:
                node.resend_transfers()
                node.rebalance()
            if (step + 13 * index) % SETTLE_STEPS == 0:
                node.settle()

    def _take_messages(self) -> list:
        messages, self.site.network = self.site.network, []
        return messages

    def _copies(self) -> int:
        draw = self.random.random()
        if draw < self.scenario.loss:
            return 0
        return 2 if draw < 2 * self.scenario.loss else 1


def frame_bytes(sender: Peer, receiver: EntryVmId, message: AllotmentMessage) -> int:
    """Return the encoded size of a message."""
    frame = PeerFrame(
        sender=sender.entry_vm,
        incarnation=IncarnationId("0" * 16),
        receiver=receiver,
        message=message,
    )
    return len(encode_frame(frame, b"secret"))


@click.command()
@click.option("--seed", default=1, show_default=True)
def main(seed: int) -> None:
    """Print one row for each scenario."""
    click.echo(
        "| scenario | starts | above the limit | use | static split "
        "| messages/s | bytes/s | writes/s |"
    )
    click.echo("|---|---|---|---|---|---|---|---|")
    for scenario in SCENARIOS:
        result = Run(scenario, seed).run()
        available = scenario.limit_slots * scenario.teams * result.steps
        static = (scenario.limit_slots // ENTRY_VMS) * scenario.demanding
        per_node_s = ENTRY_VMS * scenario.duration_s
        click.echo(
            f"| {scenario.name} | {result.starts} | {result.starts_above_limit} "
            f"| {result.used_slot_steps / available:.1%} "
            f"| {static / scenario.limit_slots:.1%} "
            f"| {result.messages / per_node_s / scenario.teams:.2f} "
            f"| {result.frame_bytes / per_node_s:.0f} "
            f"| {result.writes / per_node_s:.3f} |"
        )
    click.echo("messages/s: per team and entry VM; bytes/s and writes/s: per entry VM")


if __name__ == "__main__":
    main()
