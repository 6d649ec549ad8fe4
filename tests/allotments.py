"""Entry VMs that divide resources, over a fake store and a fake network."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from currantstage.coordination.limits import (
    AllotmentAsk,
    AllotmentBook,
    AllotmentExchange,
    AllotmentNeeds,
    AllotmentReceipt,
    AllotmentReclaimer,
    AllotmentSettlement,
    AllotmentTransfer,
    FleetView,
    Peer,
)
from currantstage.coordination.store import RetryPolicy, StoreAccess
from currantstage.state import (
    FLEET_SCOPE,
    EntryVmId,
    Generation,
    IncarnationId,
    LedgerRow,
    ResourceId,
    ledger_key,
)
from tests.fakes import FakeStore

TEAM = ResourceId("team/t")
WORK_S = 30.0


class Node:
    """One start of an entry VM."""

    def __init__(self, site, name, start=1):
        self.site = site
        self.peer = Peer(EntryVmId(name), IncarnationId(f"{name}-{start}"))
        seed = random.Random(f"{name}-{start}")
        store = StoreAccess(seed, RetryPolicy(max_tries=2))
        self.book = AllotmentBook(self.peer.incarnation)
        self.exchange = AllotmentExchange(FLEET_SCOPE, self.book)
        self.settlement = AllotmentSettlement(
            store, FLEET_SCOPE, self.peer.entry_vm, self.book
        )
        self.reclaimer = AllotmentReclaimer(store, FLEET_SCOPE)
        self.generation, self.limits = site.generation, dict(site.limits)

    def needs(self):
        return AllotmentNeeds(
            self.generation,
            self.limits,
            len(self.site.members),
            WORK_S,
            self.exchange.shortages(self.site.now_s),
        )

    def apply_limits(self):
        self.generation, self.limits = self.site.generation, dict(self.site.limits)

    def acquire(self, resource=TEAM):
        if self.book.try_acquire(resource, WORK_S):
            return True
        self.exchange.note_shortage(resource, self.site.now_s)
        return False

    def release(self, resource=TEAM):
        self.book.release(resource)
        self.site.post(self, self.exchange.released(resource, self.site.now_s))

    def ask(self):
        peers = self.site.peers_of(self)
        self.site.post(self, self.exchange.ask(self.site.now_s, peers, self.needs()))

    def level(self):
        self.site.post(
            self,
            self.exchange.level(
                self.site.now_s, self.site.peers_of(self), self.needs()
            ),
        )

    def repeat(self):
        self.site.post(self, self.exchange.repeat())

    def begin_settle(self):
        return self.settlement.settle(self.needs())

    def begin_reclaim(self):
        view = FleetView(set(self.site.listed), dict(self.site.memberships))
        return self.reclaimer.reclaim(self.site.now_s, view, tuple)

    def settle(self):
        return self.site.store.run(self.begin_settle())

    def reclaim(self):
        return self.site.store.run(self.begin_reclaim())

    def hear(self, sender, message):
        now_s = self.site.now_s
        match message:
            case AllotmentAsk():
                effects = self.exchange.hear_ask(now_s, sender, message, self.needs())
            case AllotmentTransfer():
                effects = self.exchange.hear_transfer(now_s, sender, message)
            case AllotmentReceipt():
                self.exchange.hear_receipt(sender, message)
                effects = []
        self.site.post(self, effects)


@dataclass
class Site:
    """All nodes, the messages under way, the store and the clock."""

    limits: dict = field(default_factory=lambda: {TEAM: 8})
    generation: Generation = field(default_factory=lambda: Generation(1))
    now_s: float = 0.0

    def __post_init__(self):
        self.store = FakeStore()
        self.nodes = {}
        self.members = set()
        #: Membership rows; starts without one count as having no lease.
        self.memberships = {}
        self.listed = set()
        #: Messages under way: sender, receiver's entry VM, message.
        self.network = []
        self.messages_sent = 0

    @property
    def ledger(self):
        row = self.store.rows.get(ledger_key(FLEET_SCOPE))
        return LedgerRow() if row is None else row.record

    def start(self, name, start=1):
        """Start a process; one that ran there before ends."""
        self.members.add(EntryVmId(name))
        self.listed.add(EntryVmId(name))
        node = self.nodes[name] = Node(self, name, start)
        return node

    def start_all(self, count):
        nodes = [self.start(f"e{index}") for index in range(count)]
        for node in nodes:
            node.settle()
        return nodes

    def drop_vm(self, name):
        """End the process and take its VM off the platform's list."""
        del self.nodes[name]
        self.listed.discard(name)

    def set_limit(self, slots, resource=TEAM):
        """Commit a new limit, and apply it everywhere."""
        self.limits[resource] = slots
        self.generation = Generation(self.generation + 1)
        for node in self.nodes.values():
            node.apply_limits()

    def peers_of(self, node):
        return tuple(sorted(self.members - {node.peer.entry_vm}))

    def post(self, sender, effects):
        self.messages_sent += len(effects)
        self.network += [(sender.peer, each.receiver, each.message) for each in effects]

    def deliver(self, index=0):
        """Deliver one message; it is lost when nobody runs there."""
        sender, receiver, message = self.network.pop(index)
        if receiver in self.nodes:
            self.nodes[receiver].hear(sender, message)

    def deliver_all(self):
        while self.network:
            self.deliver()

    def held_or_free(self, resource=TEAM):
        """Return the slots that somebody may still use."""
        free = self.ledger.free_slots.get(resource, 0)
        return free + sum(
            each.book.held_slots(resource) for each in self.nodes.values()
        )

    def running(self, resource=TEAM):
        return sum(node.book.running_slots(resource) for node in self.nodes.values())
