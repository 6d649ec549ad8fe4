"""Stateful fuzzing of claims: at most one request ever runs under one key.

Entry VMs share a table that may refuse calls, lose responses, or apply a write long
after its writer has abandoned it. Messages are lost, duplicated and reordered. Entry
VMs crash, pause between any two calls, and are removed from the membership while alive.
"""

from __future__ import annotations

from collections import Counter

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from currantstage.coordination.claims import (
    AcknowledgeSettlement,
    AnswerClaim,
    ClaimLog,
    ClaimRecorder,
    ClaimRequester,
    ClaimResolved,
    ClaimState,
    SendClaimRequest,
    SendSettlement,
    refresh_owners,
    settlement_of,
)
from currantstage.coordination.requests import Answer, Refusal, RefusalReason, Uncertain
from currantstage.coordination.store import (
    CIRCUIT_OPEN_S,
    Pause,
    ReadClock,
    StoreFailed,
    Transact,
)
from currantstage.state import (
    ClaimDigest,
    ClaimOwner,
    ClaimTaken,
    EntryVmId,
    IncarnationId,
    RequestId,
)
from tests.fakes import FakeStore, Fault, make_store_access
from tests.fuzz.fuzz_settings import machine_settings

DIGESTS = [ClaimDigest(f"{bucket:02x}" + "0" * 30) for bucket in (0, 1)]
NAMES = [EntryVmId(name) for name in ("a", "b")]
NEVER_S = 1e9


class Node:
    """One incarnation of an entry VM."""

    def __init__(self, name, start):
        incarnation = IncarnationId(f"{name}-{start}")
        self.own = ClaimOwner(entry_vm=name, incarnation=incarnation)
        self.access = make_store_access(start)
        self.requester = ClaimRequester()
        self.recorder = ClaimRecorder(ClaimLog(self.access, self.own), self.own)
        self.granted = []
        self.procedure = None
        self.call = None
        self.on_end = None


class ClaimMachine(RuleBasedStateMachine):
    """Drives the real claim code of two entry VMs."""

    def __init__(self):
        super().__init__()
        self.store = FakeStore()
        self.late_writes = []
        self.messages = []
        self.starts = 0
        self.requests = 0
        self.now_s = 0.0
        self.ran = Counter()
        self.listed = set()
        self.nodes = {}
        for name in NAMES:
            self._start_node(name)
        self.work_undisturbed()

    def _start_node(self, name):
        self.starts += 1
        self.nodes[name] = Node(name, self.starts)
        self.listed.add(self.nodes[name].own)

    def _perform(self, node, effects):
        for effect in effects:
            if isinstance(effect, ClaimResolved):
                if effect.decision.state is ClaimState.GRANTED:
                    node.granted.append(effect.claim)
            else:
                self.messages.append((node.own.entry_vm, effect))

    @rule(name=st.sampled_from(NAMES), digest=st.sampled_from(DIGESTS))
    def request(self, name, digest):
        node = self.nodes[name]
        self.requests += 1
        claim = ClaimTaken(
            digest=digest,
            fingerprint="same",
            holder=node.own,
            request_id=RequestId(f"r{self.requests}"),
            expires_at_s=NEVER_S,
        )
        effects = node.requester.request_claim(claim, node.recorder.owners, self.now_s)
        self._perform(node, effects)

    @precondition(lambda self: any(node.granted for node in self.nodes.values()))
    @rule(data=st.data(), end=st.sampled_from(["answer", "uncertain", "not-run"]))
    def run_granted(self, data, end):
        node = data.draw(
            st.sampled_from([each for each in self.nodes.values() if each.granted])
        )
        claim = node.granted.pop()
        ends = {
            "answer": Answer(200, "text/plain", claim.request_id.encode()),
            "uncertain": Uncertain("lost"),
            "not-run": Refusal(RefusalReason.NO_CAPACITY),
        }
        if end != "not-run":
            self.ran[claim.digest] += 1
        settlement = settlement_of(claim, ends[end])
        owners = node.recorder.owners
        self._perform(node, node.requester.settle(settlement, owners, self.now_s))

    @precondition(lambda self: self.messages)
    @rule(data=st.data(), action=st.sampled_from(["deliver", "duplicate", "lose"]))
    def move_message(self, data, action):
        index = data.draw(st.integers(0, len(self.messages) - 1))
        sender, effect = self.messages[index]
        if action != "duplicate":
            del self.messages[index]
        if action != "lose":
            self._deliver(sender, effect)

    def _deliver(self, sender, effect):
        node = self.nodes[effect.receiver]
        owners = node.recorder.owners
        match effect:
            case SendClaimRequest(_, claim):
                live = frozenset(self.listed)
                self._perform(node, node.recorder.request_claim(claim, live))
            case SendSettlement(_, settlement):
                self._perform(node, node.recorder.settle(settlement, sender))
            case AnswerClaim(claim, decision):
                if claim.holder == node.own:
                    effects = node.requester.handle_decision(
                        claim, decision, owners, self.now_s
                    )
                    self._perform(node, effects)
            case AcknowledgeSettlement(_, request_id):
                node.requester.acknowledge(request_id)

    @rule(name=st.sampled_from(NAMES))
    def start_procedure(self, name):
        node = self.nodes[name]
        if node.procedure is not None:
            return
        if node.recorder.has_work and node.recorder.owners.owners:
            if node.recorder.is_loaded:
                procedure = node.recorder.record()
                node.on_end = lambda effects: self._perform(node, effects)
            else:
                procedure, node.on_end = node.recorder.load(), lambda _: None
            self._begin(node, procedure)

    @rule(name=st.sampled_from(NAMES))
    def start_refresh(self, name):
        node = self.nodes[name]
        if node.procedure is None:
            members = frozenset(self.listed | {node.own})
            node.on_end = lambda owners: self._perform(
                node, node.recorder.update_owners(owners)
            )
            self._begin(node, refresh_owners(node.access, members))

    def _begin(self, node, procedure):
        node.procedure = procedure
        self._advance(node, None)

    def _advance(self, node, reply):
        try:
            node.call = node.procedure.send(reply)
        except StopIteration as stop:
            node.procedure = None
            node.on_end(stop.value)
        except Exception as error:
            node.procedure = None
            assert type(error).__name__ == "StoreUnreachableError", error

    @rule(
        name=st.sampled_from(NAMES),
        steps=st.integers(1, 12),
        fault=st.sampled_from([Fault.NONE, Fault.NONE, Fault.NONE, *Fault, "late"]),
    )
    def step_procedure(self, name, steps, fault):
        node = self.nodes[name]
        for _ in range(steps):
            if node.procedure is None:
                return
            self._advance(node, self._answer(node.call, fault))

    def _answer(self, call, fault):
        if fault == "late" and not isinstance(call, ReadClock | Pause):
            if isinstance(call, Transact):
                self.late_writes.append(call)
            return StoreFailed(may_have_applied=True)
        self.store.choose_fault = lambda _: Fault.NONE if fault == "late" else fault
        return self.store.answer(call)

    @precondition(lambda self: self.late_writes)
    @rule(data=st.data())
    def apply_late_write(self, data):
        index = data.draw(st.integers(0, len(self.late_writes) - 1))
        self.store.choose_fault = lambda _: Fault.NONE
        self.store.answer(self.late_writes.pop(index))

    @rule()
    def work_undisturbed(self):
        """Refresh the owners, then run a few rounds without faults."""
        # Long enough for the circuit breakers to admit a probe.
        self.store.clock.time_s += 10 * CIRCUIT_OPEN_S
        for name in NAMES:
            self._finish(name)
            self.start_refresh(name)
            self._finish(name)
        for _ in range(3):
            for name in NAMES:
                self.start_procedure(name)
                self._finish(name)
            messages, self.messages = self.messages, []
            for sender, effect in messages:
                self._deliver(sender, effect)

    @rule(name=st.sampled_from(NAMES))
    def finish_procedure(self, name):
        self._finish(name)

    def _finish(self, name):
        node = self.nodes[name]
        while node.procedure is not None:
            self._advance(node, self._answer(node.call, Fault.NONE))

    @rule(name=st.sampled_from(NAMES))
    def crash(self, name):
        self.listed.discard(self.nodes[name].own)
        self._start_node(name)

    @rule(name=st.sampled_from(NAMES))
    def suspect(self, name):
        self.listed.discard(self.nodes[name].own)

    @rule(name=st.sampled_from(NAMES))
    def list_again(self, name):
        self.listed.add(self.nodes[name].own)

    @rule(elapsed_s=st.sampled_from([0.1, 0.6, 3.0]))
    def pass_time(self, elapsed_s):
        self.now_s += elapsed_s
        for node in self.nodes.values():
            owners = node.recorder.owners
            self._perform(node, node.requester.tick(owners, self.now_s, 0.0))

    @invariant()
    def nothing_runs_twice(self):
        assert all(count <= 1 for count in self.ran.values()), self.ran


ClaimMachine.TestCase.settings = machine_settings(150, 60)
TestClaims = ClaimMachine.TestCase
