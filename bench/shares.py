"""Measure how closely each team gets its weighted share when the fleet is full.

Example: python -m bench.shares --seed 1
"""

from __future__ import annotations

import random
from collections import Counter, deque
from dataclasses import dataclass

import click

from currantstage.coordination.limits import (
    USAGE_INTERVAL_S,
    TeamDemand,
    UsageTracker,
    WeightedMaxMin,
    max_min_slots,
)
from currantstage.coordination.requests import TeamLoad
from currantstage.state import EntryVmId, IncarnationId, QueueId, TeamId

#: No share corresponds to a whole number of an entry VM's slots.
SHARES = {
    TeamId("t1"): 5.0,
    TeamId("t2"): 3.0,
    TeamId("t3"): 2.0,
    TeamId("t4"): 2.0,
    TeamId("t5"): 1.0,
    TeamId("t6"): 0.7,
}
QUEUE = QueueId("q")
DATA_CENTRES = 3
ENTRY_VMS_EACH = 2
#: Six workers of eight slots, divided between two entry VMs.
SLOTS_EACH = 24
MAX_WAITING = 256
MEAN_WORK_S = 0.2
STEP_S = 0.01
GOSSIP_STEPS = int(USAGE_INTERVAL_S / STEP_S)
WARM_UP_S = 10.0
WINDOW_S = 10.0


@dataclass(frozen=True)
class Scenario:
    """Demand of each team, as a multiple of its share.

    Parameters
    ----------
    name : str
    flooding : TeamId
        Team that demands ten times its share.
    local : TeamId or None
        Team whose callers are all in the first data centre.
    """

    name: str
    flooding: TeamId
    local: TeamId | None = None

    def demand(self, team: TeamId, data_centre: int) -> float:
        """Return the slots that `team` demands at each entry VM."""
        share_slots = SLOTS_EACH * SHARES[team] / sum(SHARES.values())
        factor = 10.0 if team == self.flooding else 1.5
        if team == self.local:
            return share_slots * factor * DATA_CENTRES if data_centre == 0 else 0.0
        return share_slots * factor


class Site:
    """Waiting queues and slots of one entry VM."""

    def __init__(self, index: int, is_fair: bool, uses_gossip: bool) -> None:
        self.name = EntryVmId(f"e{index}")
        self.data_centre = index // ENTRY_VMS_EACH
        self.waiting = {team: deque() for team in SHARES}
        self.running = Counter()
        self.ends = []
        self.tracker = UsageTracker()
        self.is_fair = is_fair
        self.uses_gossip = uses_gossip

    def arrive(self, team: TeamId, number: int) -> None:
        """Enqueue a request, and drop one if the queue is full."""
        self.waiting[team].append(number)
        if sum(map(len, self.waiting.values())) > MAX_WAITING:
            longest = max(self.waiting, key=lambda each: len(self.waiting[each]))
            self.waiting[longest if self.is_fair else team].pop()

    def start_waiting(self, now_s: float, rng: random.Random) -> None:
        """Start waiting requests in the free slots."""
        while self.running.total() < SLOTS_EACH and any(self.waiting.values()):
            team = self.choose(now_s)
            self.waiting[team].popleft()
            self.running[team] += 1
            self.ends.append((now_s + rng.expovariate(1 / MEAN_WORK_S), team))

    def choose(self, now_s: float) -> TeamId:
        """Return the team whose request starts next."""
        if not self.is_fair:
            candidates = [team for team in SHARES if self.waiting[team]]
            return min(candidates, key=lambda team: self.waiting[team][0])
        return WeightedMaxMin().choose([self.load(team, now_s) for team in SHARES])

    def load(self, team: TeamId, now_s: float) -> TeamLoad:
        """Return the policy's input for one team."""
        running = self.running[team]
        correction = 0.0
        if self.uses_gossip:
            correction = self.tracker.correction_slots(now_s, QUEUE, team, running)
        return TeamLoad(
            team, SHARES[team], running, len(self.waiting[team]), correction
        )

    def finish(self, now_s: float) -> None:
        """End the work whose end time has passed."""
        for end in [each for each in self.ends if each[0] <= now_s]:
            self.ends.remove(end)
            self.running[end[1]] -= 1


def run(scenario: Scenario, seed: int, is_fair: bool, uses_gossip: bool) -> dict:
    """Return the mean slots of each team over the window."""
    rng = random.Random(seed)
    sites = [
        Site(index, is_fair, uses_gossip)
        for index in range(DATA_CENTRES * ENTRY_VMS_EACH)
    ]
    held, steps = Counter(), 0
    for step in range(int((WARM_UP_S + WINDOW_S) / STEP_S)):
        now_s = step * STEP_S
        for site in sites:
            site.finish(now_s)
            for team in SHARES:
                rate = scenario.demand(team, site.data_centre) / MEAN_WORK_S
                for _ in range(poisson(rng, rate * STEP_S)):
                    site.arrive(team, step)
            site.start_waiting(now_s, rng)
        if step % GOSSIP_STEPS == 0:
            gossip(sites, now_s)
        if now_s >= WARM_UP_S:
            steps += 1
            for site in sites:
                held.update(site.running)
    return {team: held[team] / steps for team in SHARES}


def gossip(sites: list[Site], now_s: float) -> None:
    """Broadcast the report of every entry VM to all others."""
    for site in sites:
        report = site.tracker.report(now_s, {QUEUE: site.running})
        for other in sites:
            if other is not site:
                other.tracker.receive(now_s, site.name, IncarnationId("1"), report)


def poisson(rng: random.Random, mean: float) -> int:
    """Return the number of arrivals in one step."""
    count, time = 0, rng.expovariate(1.0)
    while time < mean:
        count, time = count + 1, time + rng.expovariate(1.0)
    return count


def entitlement(scenario: Scenario) -> dict[TeamId, float]:
    """Return the weighted max-min allocation of the whole fleet's slots."""
    demands = [
        TeamDemand(
            team,
            share,
            sum(
                ENTRY_VMS_EACH * scenario.demand(team, data_centre)
                for data_centre in range(DATA_CENTRES)
            ),
        )
        for team, share in SHARES.items()
    ]
    return max_min_slots(SLOTS_EACH * ENTRY_VMS_EACH * DATA_CENTRES, demands)


def jain_index(values: list[float]) -> float:
    """Return Jain's fairness index of `values`."""
    return sum(values) ** 2 / (len(values) * sum(each**2 for each in values))


SCENARIOS = (
    Scenario("t1 floods, ten times its share", TeamId("t1")),
    Scenario("t6 floods, ten times its share", TeamId("t6")),
    Scenario("t6 floods, t3 only in one data centre", TeamId("t6"), TeamId("t3")),
)
POLICIES = (
    ("first come, first served", False, False),
    ("max-min, each entry VM by itself", True, False),
    ("max-min, corrected by gossip", True, True),
)


@click.command()
@click.option("--seed", default=1, show_default=True)
def main(seed: int) -> None:
    """Print one row for each scenario and policy."""
    click.echo("| scenario | policy | worst distance | of each team | Jain |")
    click.echo("|---|---|---|---|---|")
    for scenario in SCENARIOS:
        entitled = entitlement(scenario)
        for name, is_fair, uses_gossip in POLICIES:
            slots = run(scenario, seed, is_fair, uses_gossip)
            ratios = [slots[team] / entitled[team] for team in SHARES]
            each = " ".join(f"{ratio - 1:+.1%}" for ratio in ratios)
            worst = max(abs(ratio - 1) for ratio in ratios)
            click.echo(
                f"| {scenario.name} | {name} | {worst:.1%} | {each} "
                f"| {jain_index(ratios):.4f} |"
            )


if __name__ == "__main__":
    main()
