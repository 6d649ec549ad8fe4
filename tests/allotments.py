"""Entry VMs that share resources, with a fake store and a fake network."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from currantstage.coordination.limits import (
    AllotmentAccount,
    AllotmentExchange,
    AllotmentNeeds,
    AllotmentReceipt,
    AllotmentReclaimer,
    AllotmentRequest,
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
    """One incarnation of an entry VM."""

    def __init__(self, site, name, start=1):
        self.site = site
        self.peer = Peer(EntryVmId(name), IncarnationId(f"{name}-{start}"))
        seed = random.Random(f"{name}-{start}")
        store = StoreAccess(seed, RetryPolicy(max_tries=2))
        self.account = AllotmentAccount(self.peer.incarnation)
        self.exchange = AllotmentExchange(FLEET_SCOPE, self.account)
        self.settlement = AllotmentSettlement(
            store, FLEET_SCOPE, self.peer.entry_vm, self.account
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
        if self.account.try_acquire(resource, WORK_S):
            return True
        self.exchange.record_shortage(resource, self.site.now_s)
        return False

    def release(self, resource=TEAM):
        self.account.release(resource)
        self.site.post(
            self, self.exchange.serve_peer_requests(resource, self.site.now_s)
        )

    def request_slots(self):
        peers = self.site.peers_of(self)
        self.site.post(
            self, self.exchange.request_slots(self.site.now_s, peers, self.needs())
        )

    def rebalance(self):
        self.site.post(
            self,
            self.exchange.rebalance(
                self.site.now_s, self.site.peers_of(self), self.needs()
            ),
        )

    def resend_transfers(self):
        self.site.post(self, self.exchange.resend_transfers())

    def begin_settle(self):
        return self.settlement.settle(self.needs())

    def begin_reclaim(self):
        view = FleetView(set(self.site.listed), dict(self.site.memberships))
        return self.reclaimer.reclaim(self.site.now_s, view, tuple)

    def settle(self):
        return self.site.store.run(self.begin_settle())

    def reclaim(self):
        return self.site.store.run(self.begin_reclaim())

    def handle(self, sender, message):
        now_s = self.site.now_s
        match message:
            case AllotmentRequest():
                effects = self.exchange.handle_request(
                    now_s, sender, message, self.needs()
                )
            case AllotmentTransfer():
                effects = self.exchange.handle_transfer(now_s, sender, message)
            case AllotmentReceipt():
                self.exchange.handle_receipt(sender, message)
                effects = []
        self.site.post(self, effects)


@dataclass
class Site:
    """All nodes, the messages in transit, the store and the clock."""

    limits: dict = field(default_factory=lambda: {TEAM: 8})
    generation: Generation = field(default_factory=lambda: Generation(1))
    now_s: float = 0.0

    def __post_init__(self):
        self.store = FakeStore()
        self.nodes = {}
        self.members = set()
        #: Membership rows; an incarnation without one has no lease.
        self.memberships = {}
        self.listed = set()
        #: Messages in transit: sender, receiver's entry VM, message.
        self.network = []
        self.messages_sent = 0

    @property
    def ledger(self):
        row = self.store.rows.get(ledger_key(FLEET_SCOPE))
        return LedgerRow() if row is None else row.record

    def start(self, name, start=1):
        """Start a process; an earlier one on the same entry VM ends."""
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
        """End the process and remove its VM from the platform's list."""
        del self.nodes[name]
        self.listed.discard(name)

    def set_limit(self, slots, resource=TEAM):
        """Commit a new limit, and apply it on all nodes."""
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
        """Deliver one message; it is lost if the receiver is not running."""
        sender, receiver, message = self.network.pop(index)
        if receiver in self.nodes:
            self.nodes[receiver].handle(sender, message)

    def deliver_all(self):
        while self.network:
            self.deliver()

    def held_or_free(self, resource=TEAM):
        """Return the slots that are still usable."""
        free = self.ledger.free_slots.get(resource, 0)
        return free + sum(
            each.account.held_slots(resource) for each in self.nodes.values()
        )

    def running(self, resource=TEAM):
        return sum(node.account.running_slots(resource) for node in self.nodes.values())
