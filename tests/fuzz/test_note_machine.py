"""Fuzz test of commit, acceptance and configuration leases against an oracle.

The oracle: the keys of each generation result from the additions and withdrawals of
all notes up to it, and no process serves keyed work under a generation older than one
that was reported as accepted to any operator.
"""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from currantstage.coordination.notes import commit_note
from currantstage.coordination.store import MAX_CLOCK_DRIFT, RENEWALS_PER_LEASE
from currantstage.state import (
    ACCEPTED_KEY,
    DEFAULT_CONFIG_LEASE_S,
    HEAD_KEY,
    Additions,
    Key,
    KeyId,
    NoteId,
    ReleaseNote,
    Team,
    TeamId,
    Withdrawals,
)
from tests.fuzz.fuzz_settings import machine_settings
from tests.fuzz.note_world import CallFault, Message, NoteWorld, RunningProcedure

NAMES = ("e1", "e2", "e3")
#: Time after which a renewal is due under the default lease, in seconds.
RENEWAL_DUE_S = DEFAULT_CONFIG_LEASE_S / RENEWALS_PER_LEASE + 0.1
#: Maximum number of simultaneous processes, including former incarnations.
MAX_PROCESSES = 6
TEAM = Team(team_id=TeamId("north"), share=1.0, upper_limit_slots=8)
picks = st.integers(0, 5)
faults = st.sampled_from((CallFault.NONE, *CallFault))
waits = st.sampled_from((0.0, 0.5, 2.5, 5.0, 9.95, 10.3, 31.0))
lease_lengths = st.sampled_from((2.0, 10.0, 30.0))
clock_rates = st.sampled_from((1 - MAX_CLOCK_DRIFT, 1.0, 1 + MAX_CLOCK_DRIFT))


class NoteMachine(RuleBasedStateMachine):
    """Concurrent commits, restarts, pauses, partitions, outages and lost replies."""

    @initialize(rates=st.tuples(clock_rates, clock_rates, clock_rates))
    def set_up(self, rates):
        self.world = NoteWorld()
        self.running: list[RunningProcedure] = []
        self.notes = 0
        self.accepted = 0
        #: Expected keys of each generation.
        self.keys_of_generation = [frozenset()]
        first = self.world.start(NAMES[0], rates[0])
        additions = Additions(teams=(TEAM,))
        self.commit(first, ReleaseNote(note_id=NoteId("first"), added=additions))
        for name, rate in zip(NAMES[1:], rates[1:], strict=True):
            self.world.start(name, rate)
        for process in self.world.processes:
            self.world.run(process, process.membership.follow_head())

    def pick(self, index):
        return self.world.processes[index % len(self.world.processes)]

    def commit(self, process, note, fault=CallFault.NONE):
        self.world.run(process, self.commit_procedure(process, note), fault)

    def commit_procedure(self, process, note):
        return commit_note(process.access, note, note.note_id)

    def next_note(self, does_withdraw, lease_s):
        """Return a note that adds or withdraws a key of the newest generation."""
        self.notes += 1
        note_id = NoteId(f"note-{self.notes}")
        known = sorted(self.keys_of_generation[-1])
        if does_withdraw and known:
            return ReleaseNote(
                note_id=note_id,
                withdrawn=Withdrawals(keys=(KeyId(known[0]),)),
                config_lease_s=lease_s,
            )
        key = Key(
            key_id=KeyId(f"key-{self.notes}"),
            team=TEAM.team_id,
            salt="s",
            digest="0" * 64,
        )
        return ReleaseNote(
            note_id=note_id, added=Additions(keys=(key,)), config_lease_s=lease_s
        )

    @rule(duration_s=waits)
    def time_passes(self, duration_s):
        self.world.advance(duration_s)

    @rule(index=picks, fault=faults)
    def follow(self, index, fault):
        process = self.pick(index)
        self.world.run(process, process.membership.follow_head(), fault)

    @rule(index=picks)
    def begin_to_follow(self, index):
        process = self.pick(index)
        procedure = process.membership.follow_head()
        self.running.append(RunningProcedure(self.world, process, procedure))

    @rule(index=picks, withdraws=st.booleans())
    def begin_to_commit(self, index, withdraws):
        process = self.pick(index)
        procedure = self.commit_procedure(process, self.next_note(withdraws, 10.0))
        self.running.append(RunningProcedure(self.world, process, procedure))

    @precondition(lambda self: self.running)
    @rule(index=picks, fault=faults, steps=st.integers(1, 6))
    def step(self, index, fault, steps):
        running = self.running[index % len(self.running)]
        for _ in range(steps - 1):
            running.step(CallFault.NONE)
        running.step(fault)
        if running.is_done:
            self.running.remove(running)

    @rule(
        index=picks,
        withdraws=st.booleans(),
        lease_s=lease_lengths,
        fault=faults,
    )
    def submit(self, index, withdraws, lease_s, fault):
        self.commit(self.pick(index), self.next_note(withdraws, lease_s), fault)

    @rule(
        index=picks,
        late=picks,
        withdraws=st.booleans(),
        lease_s=lease_lengths,
        steps=st.tuples(st.integers(0, 7), st.sampled_from((0, 0, 1, 2, 4))),
        waits_s=st.tuples(waits, waits),
        is_late_asking=st.booleans(),
    )
    def roll_out(self, index, late, withdraws, lease_s, steps, waits_s, is_late_asking):
        """Submit a note and apply it at all processes except one.

        This late process starts to follow the head before the commit, with pauses,
        and finishes only after acceptance was queried.
        """
        process, late_process = self.pick(index), self.pick(late)
        self.world.advance(RENEWAL_DUE_S)
        procedure = late_process.membership.follow_head()
        following = RunningProcedure(self.world, late_process, procedure)
        self.step_repeatedly(following, steps[0])
        self.commit(process, self.next_note(withdraws, lease_s))
        for each in (process, *self.world.processes):
            if each is not late_process:
                self.world.run(each, each.membership.follow_head())
        self.world.advance(waits_s[0])
        self.step_repeatedly(following, steps[1])
        self.world.advance(waits_s[1])
        self.ask_for_acceptance(index, CallFault.NONE)
        if is_late_asking:
            self.renew_through_peer(late, index)
        following.finish()

    def step_repeatedly(self, running, count):
        for _ in range(count):
            running.step(CallFault.NONE)

    @rule(index=picks, fault=faults)
    def ask_for_acceptance(self, index, fault):
        """Query one process; its reply may be seen by a single operator only."""
        process = self.pick(index)
        head = self.world.store.rows[HEAD_KEY].record.generation
        progress = self.world.run(process, process.acceptance.progress(head), fault)
        if progress is not None and progress.is_accepted:
            self.accepted = max(self.accepted, head)

    @rule(index=picks, is_cut_off=st.booleans())
    def change_partition(self, index, is_cut_off):
        self.pick(index).can_reach_table = not is_cut_off

    @rule(is_down=st.sampled_from((True, False, False)), is_table=st.booleans())
    def change_outage(self, is_down, is_table):
        self.world.is_table_down = is_down and is_table
        self.world.are_objects_down = is_down and not is_table

    @rule(index=picks, rate=clock_rates, is_crashed=st.booleans())
    def start_again(self, index, rate, is_crashed):
        """Start a second process of an entry VM; the first may keep running."""
        process = self.pick(index)
        if is_crashed:
            self.world.processes.remove(process)
            self.running = [each for each in self.running if each.process != process]
        if len(self.world.processes) < MAX_PROCESSES:
            self.world.start(process.name, rate)

    @rule(index=picks, fault=faults)
    def leave(self, index, fault):
        """Leave and start a successor; the former process remains for a while."""
        process = self.pick(index)
        self.world.run(process, process.membership.leave(), fault)
        successor = self.world.start(process.name, process.clock_rate)
        self.world.run(successor, successor.membership.follow_head())
        if len(self.world.processes) > MAX_PROCESSES:
            self.world.processes.pop(0)

    @rule(sender=picks, receiver=picks)
    def renew_through_peer(self, sender, receiver):
        """Request a renewal from a peer, and receive its reply immediately."""
        self.ask_a_peer_to_renew(sender, receiver)
        self.world.deliver(self.world.messages.pop())
        if self.world.messages and self.world.messages[-1].is_outcome:
            self.world.deliver(self.world.messages.pop())

    @rule(sender=picks, receiver=picks)
    def ask_a_peer_to_renew(self, sender, receiver):
        process = self.pick(sender)
        request = process.membership.request_renewal(process.clock.now_s())
        message = Message(process, self.pick(receiver), request)
        self.world.messages.append(message)

    @precondition(lambda self: self.world.messages)
    @rule(index=picks, is_kept=st.booleans())
    def deliver(self, index, is_kept):
        """Deliver a message; if it is kept, it may be delivered again."""
        message = self.world.messages[index % len(self.world.messages)]
        if not is_kept:
            self.world.messages.remove(message)
        self.world.deliver(message)

    @precondition(lambda self: self.world.messages)
    @rule(index=picks)
    def lose_message(self, index):
        del self.world.messages[index % len(self.world.messages)]

    @precondition(lambda self: self.world.delayed)
    @rule(index=picks)
    def delayed_write_arrives(self, index):
        self.world.apply_delayed(index % len(self.world.delayed))

    @invariant()
    def guarantees_hold(self):
        self.check_head()
        self.check_accepted()
        for process in self.world.processes:
            self.check_process(process)

    def check_head(self):
        """Check that generations increase by one and have the expected keys."""
        rows = self.world.store.rows
        if HEAD_KEY not in rows:
            return
        head = rows[HEAD_KEY].record
        stored = self.world.store.objects[head.object_name]
        newest = len(self.keys_of_generation) - 1
        assert newest <= head.generation <= newest + 1
        if head.generation > newest:
            added = {key.key_id for key in stored.note.added.keys}
            withdrawn = set(stored.note.withdrawn.keys)
            keys = (self.keys_of_generation[-1] | added) - withdrawn
            self.keys_of_generation.append(frozenset(keys))
        assert stored.fleet.keys.keys() == self.keys_of_generation[-1]

    def check_accepted(self):
        """Check that a generation reported as accepted stays accepted."""
        row = self.world.store.rows.get(ACCEPTED_KEY)
        assert self.accepted <= (0 if row is None else row.record.generation)
        assert self.accepted < len(self.keys_of_generation)

    def check_process(self, process):
        """Check that no process reverts to, or serves under, an older generation."""
        fleet = process.configuration.fleet
        assert fleet.generation >= process.highest_generation
        process.highest_generation = fleet.generation
        assert fleet.keys.keys() == self.keys_of_generation[fleet.generation]
        assert not process.serves_keyed or fleet.generation >= self.accepted


NoteMachine.TestCase.settings = machine_settings(350, 40)
TestNoteMachine = NoteMachine.TestCase
