"""An entry VM that can reach its peers but not the platform."""

from __future__ import annotations

import asyncio

from currantstage.application import PeerService, RelayService
from currantstage.coordination.membership import (
    LeaseRelay,
    PeerLiveness,
    RenewalOutcome,
)
from currantstage.protocol import Heartbeat
from currantstage.state import DEFAULT_CONFIG_LEASE_S, IncarnationId
from tests.coordination.test_config_lease import EntryVm, commit
from tests.fakes import FakeStore

SECRET = b"secret"


class Network:
    """A link between all entry VMs that delivers messages at once."""

    def __init__(self):
        self.services = {}
        self.sent = 0

    def send(self, receiver, payload):
        self.sent += 1
        self.services[receiver].receive(payload)


class Node:
    """An entry VM with its relay service; renewals for peers run at once."""

    def __init__(self, vm, network):
        row = vm.membership.row
        self.vm = vm
        self.peers = PeerService(row.entry_vm, row.incarnation, SECRET)
        network.services[row.entry_vm] = self.peers
        liveness = PeerLiveness()
        self.relay = RelayService(
            self.peers,
            network,
            self,
            vm.clock,
            vm.configuration,
            vm.membership,
            liveness,
            LeaseRelay(vm.membership, vm.configuration, liveness),
            lambda: None,
        )

    async def run(self, procedure):
        return self.vm.store.run(procedure, self.vm.clock)

    def send_heartbeat(self, network, receiver):
        generation = self.vm.configuration.fleet.generation
        self.peers.send(network, receiver, Heartbeat(generation=generation))


async def wait_for_renewals(*nodes):
    for _ in range(20):
        for node in nodes:
            for task in tuple(node.relay._renewals):
                await task


def make_nodes():
    store, network = FakeStore(), Network()
    cut_off = Node(EntryVm(store, "e1", 7), network)
    peer = Node(EntryVm(store, "e2", 8), network)
    return store, network, cut_off, peer


def test_a_peer_renews_the_lease_and_sends_the_newer_fleet():
    async def check():
        store, network, cut_off, peer = make_nodes()
        for node in (cut_off, peer):
            await node.relay.start()
            node.vm.follow()
        commit(store, "a")
        peer.vm.follow()
        cut_off.vm.clock.time_s = DEFAULT_CONFIG_LEASE_S - 1
        peer.send_heartbeat(network, "e1")
        cut_off.relay.report_store_outage()
        await wait_for_renewals(cut_off, peer)
        assert cut_off.vm.configuration.fleet.generation == 1
        cut_off.vm.clock.time_s = DEFAULT_CONFIG_LEASE_S + 1
        assert cut_off.vm.may_serve()

    asyncio.run(check())


def test_peers_without_a_recent_heartbeat_are_not_asked():
    async def check():
        _, network, cut_off, peer = make_nodes()
        await cut_off.relay.start()
        peer.send_heartbeat(network, "e1")
        cut_off.vm.clock.time_s = 1000.0
        network.sent = 0
        cut_off.relay.report_store_outage()
        assert network.sent == 0

    asyncio.run(check())


def test_a_renewal_for_another_incarnation_does_not_extend_the_lease():
    vm = EntryVm(FakeStore(), "e1", 7)
    request = vm.membership.request_renewal(0.0)
    other = IncarnationId("start-6")
    vm.membership.handle_renewal_outcome(RenewalOutcome(other, request.number, True, 0))
    assert not vm.may_serve()


def test_an_entry_vm_that_has_left_serves_no_keyed_requests_and_gets_no_new_row():
    store = FakeStore()
    vm = EntryVm(store, "e1", 7)
    vm.follow()
    request = vm.membership.request_renewal(0.0)
    store.run(vm.membership.leave(), vm.clock)
    vm.clock.time_s = DEFAULT_CONFIG_LEASE_S / 2
    vm.follow()
    assert not store.rows
    outcome = store.run(vm.membership.renew_for_peer(request), vm.clock)
    vm.membership.handle_renewal_outcome(outcome)
    assert not vm.may_serve()
