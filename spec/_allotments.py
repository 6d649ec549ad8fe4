"""Allotments of one resource: grants, transfers between holders, reclaiming.

The ledger in the store states how many slots exist and how many are free; each
holder's row states how many it was granted. Holders transfer slots to each other
without the store, counted as totals for each pair, so messages may be lost, duplicated
and delayed. A retired holder's slots become free only after every live holder has
recorded its transfers with it. Any reply of the store may be lost.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, replace
from typing import ClassVar

import z3

from spec._engine import Step, variables

#: Incarnations in the proof: two exchange transfers, and a third is reclaimed.
PROOF_NAMES = ("a", "b", "c")
#: Incarnations in the search for counterexamples.
SEARCH_NAMES = ("a", "b")
_TRUE, _FALSE, _ZERO = z3.BoolVal(True), z3.BoolVal(False), z3.IntVal(0)


@dataclass(frozen=True)
class PeerTransfers:
    """Transfers between one holder and one peer, in its process and in its row.

    Parameters
    ----------
    sent, received : z3.ArithRef
        Totals of all slots ever sent to the peer and received from it.
    is_closed : z3.BoolRef
        Whether the process has stopped transfers with the peer.
    is_recorded : z3.BoolRef
        Whether the holder's row states so.
    recorded_net : z3.ArithRef
        Slots received minus slots sent, as stated by the row.
    """

    sent: z3.ArithRef
    received: z3.ArithRef
    is_closed: z3.BoolRef
    is_recorded: z3.BoolRef
    recorded_net: z3.ArithRef

    @classmethod
    def fresh(cls, label: str) -> PeerTransfers:
        """Return transfers of fresh constants."""
        return cls(
            sent=z3.Int(f"{label}.sent"),
            received=z3.Int(f"{label}.received"),
            is_closed=z3.Bool(f"{label}.is_closed"),
            is_recorded=z3.Bool(f"{label}.is_recorded"),
            recorded_net=z3.Int(f"{label}.recorded_net"),
        )

    @property
    def net(self) -> z3.ArithRef:
        """Slots received minus slots sent, as counted by the process."""
        return self.received - self.sent


@dataclass(frozen=True)
class Holder:
    """One incarnation of an entry VM: its row and its process.

    Parameters
    ----------
    has_row, is_retired, is_reclaimed : z3.BoolRef
        Whether the row exists, whether the ledger lists the holder as retired, and
        whether its slots were reclaimed.
    granted : z3.ArithRef
        Slots taken from the ledger, as stated by the row.
    is_up : z3.BoolRef
        Whether the process may start work and exchange transfers.
    confirmed_granted : z3.ArithRef
        `granted` as confirmed to the process.
    running : z3.ArithRef
        Slots whose work is running, or may be running after a crash.
    transfers : mapping of str to PeerTransfers
    """

    has_row: z3.BoolRef
    is_retired: z3.BoolRef
    is_reclaimed: z3.BoolRef
    granted: z3.ArithRef
    is_up: z3.BoolRef
    confirmed_granted: z3.ArithRef
    running: z3.ArithRef
    transfers: Mapping[str, PeerTransfers]

    @classmethod
    def fresh(cls, label: str, peers: tuple[str, ...]) -> Holder:
        """Return a holder of fresh constants."""
        return cls(
            has_row=z3.Bool(f"{label}.has_row"),
            is_retired=z3.Bool(f"{label}.is_retired"),
            is_reclaimed=z3.Bool(f"{label}.is_reclaimed"),
            granted=z3.Int(f"{label}.granted"),
            is_up=z3.Bool(f"{label}.is_up"),
            confirmed_granted=z3.Int(f"{label}.confirmed_granted"),
            running=z3.Int(f"{label}.running"),
            transfers={peer: PeerTransfers.fresh(f"{label}.{peer}") for peer in peers},
        )

    @classmethod
    def initial(cls, peers: tuple[str, ...]) -> Holder:
        """Return a holder that has not started yet."""
        none = PeerTransfers(_ZERO, _ZERO, _FALSE, _FALSE, _ZERO)
        return cls(
            has_row=_FALSE,
            is_retired=_FALSE,
            is_reclaimed=_FALSE,
            granted=_ZERO,
            is_up=_FALSE,
            confirmed_granted=_ZERO,
            running=_ZERO,
            transfers=dict.fromkeys(peers, none),
        )

    @property
    def held(self) -> z3.ArithRef:
        """Slots that the process holds."""
        return self.confirmed_granted + z3.Sum(
            [transfers.net for transfers in self.transfers.values()]
        )

    def with_transfers(self, peer: str, **changes: z3.ExprRef) -> Holder:
        """Return the holder with some fields of its transfers with `peer` changed."""
        transfers = replace(self.transfers[peer], **changes)
        return replace(self, transfers={**self.transfers, peer: transfers})


@dataclass(frozen=True)
class Allotments:
    """State of the whole protocol.

    Parameters
    ----------
    limit, older_limit : z3.ArithRef
        Upper limit of the newest committed note, and the largest earlier limit that
        the ledger may still apply.
    is_limit_applied : z3.BoolRef
        Whether the ledger states the generation of the newest limit.
    ceiling : z3.ArithRef
        Largest limit that no accepted note has lowered yet: the bound that users may
        rely on.
    total, free : z3.ArithRef
        Slots that exist, and slots without a holder.
    holders : mapping of str to Holder
    """

    limit: z3.ArithRef
    older_limit: z3.ArithRef
    is_limit_applied: z3.BoolRef
    ceiling: z3.ArithRef
    total: z3.ArithRef
    free: z3.ArithRef
    holders: Mapping[str, Holder]

    def with_holder(self, name: str, holder: Holder) -> Allotments:
        """Return the state with one holder replaced."""
        return replace(self, holders={**self.holders, name: holder})

    def with_changes(self, name: str, **changes: z3.ExprRef) -> Allotments:
        """Return the state with some fields of one holder changed."""
        return self.with_holder(name, replace(self.holders[name], **changes))


class AllotmentModel:
    """The specification of allotments; implements `Model`.

    Parameters
    ----------
    names : tuple of str
        Incarnations of entry VMs.
    """

    name = "allotments"
    search_depth = 14
    prefix = ("a starts", "b starts", "the ledger creates slots", "a takes slots")
    hints: ClassVar[Mapping[str, tuple[str, ...]]] = {
        "wait for every record": (
            "a sends slots to b",
            "b receives slots from a",
            "a crashes or leaves",
            "a is retired",
        ),
        "close before recording": (
            "a sends slots to b",
            "a crashes or leaves",
            "a is retired",
            "b takes slots",
            "the slots of retired holders become free",
        ),
        "no transfers with a closed peer": (
            "a sends slots to b",
            "a crashes or leaves",
            "a is retired",
            "b closes its transfers with a",
            "b takes slots",
            "the slots of retired holders become free",
        ),
        "retire after the last deadline": (
            "a starts work",
            "a crashes or leaves",
            "a is retired",
        ),
    }

    def __init__(self, names: tuple[str, ...] = PROOF_NAMES) -> None:
        self._names = names

    def fresh(self, label: str) -> Allotments:
        """Return a state of fresh constants."""
        return Allotments(
            limit=z3.Int(f"{label}.limit"),
            older_limit=z3.Int(f"{label}.older_limit"),
            is_limit_applied=z3.Bool(f"{label}.is_limit_applied"),
            ceiling=z3.Int(f"{label}.ceiling"),
            total=z3.Int(f"{label}.total"),
            free=z3.Int(f"{label}.free"),
            holders={
                name: Holder.fresh(f"{label}.{name}", self._peers(name))
                for name in self._names
            },
        )

    def is_initial(self, state: Allotments) -> z3.BoolRef:
        """Return whether nothing has happened but one note."""
        start = Allotments(
            limit=state.limit,
            older_limit=state.limit,
            is_limit_applied=_TRUE,
            ceiling=state.limit,
            total=_ZERO,
            free=_ZERO,
            holders={name: Holder.initial(self._peers(name)) for name in self._names},
        )
        pairs = zip(variables(state), variables(start), strict=True)
        same = [term == value for (_, term), (_, value) in pairs]
        return z3.And(state.limit >= 0, *same)

    def safety_properties(self, state: Allotments) -> Mapping[str, z3.BoolRef]:
        """Return the safety properties."""
        running = z3.Sum([holder.running for holder in state.holders.values()])
        return {"running slots never exceed the limit": running <= state.ceiling}

    def lemmas(self, state: Allotments) -> Mapping[str, z3.BoolRef]:
        """Return the auxiliary invariants of the proof."""
        holders = state.holders.values()
        recorded = [_recorded_balance(state, holder) for holder in holders]
        return {
            "slots that exist are within the limits": z3.And(
                state.total <= state.ceiling,
                state.limit <= state.ceiling,
                z3.Or(state.is_limit_applied, state.older_limit <= state.ceiling),
            ),
            "settlements neither create nor lose slots": (
                state.free + z3.Sum(recorded) == state.total
            ),
            "free slots are never negative": state.free >= 0,
            "running slots never exceed the held ones": z3.And(
                *(
                    z3.And(holder.running >= 0, holder.running <= holder.held)
                    for holder in holders
                )
            ),
            "a process counts on no more than its row grants": z3.And(
                *(
                    z3.Implies(
                        holder.has_row,
                        _confirmed_balance(state, holder)
                        <= _recorded_balance(state, holder),
                    )
                    for holder in holders
                )
            ),
            "no holder receives more than was sent to it": z3.And(
                *(
                    z3.And(
                        transfers.sent >= 0,
                        transfers.received >= 0,
                        z3.Or(
                            state.holders[peer].is_reclaimed,
                            holder.is_reclaimed,
                            transfers.received
                            <= state.holders[peer].transfers[name].sent,
                        ),
                    )
                    for name, holder in state.holders.items()
                    for peer, transfers in holder.transfers.items()
                )
            ),
            "recorded totals of closed transfers stay exact": z3.And(
                *(
                    _is_record_exact(state.holders[peer], transfers)
                    for holder in holders
                    for peer, transfers in holder.transfers.items()
                )
            ),
            "no transfer is pending from a reclaimed or to an unstarted holder": z3.And(
                *(
                    _are_pending_slots_counted(state, name, peer)
                    for name, holder in state.holders.items()
                    for peer in holder.transfers
                )
            ),
            "holders start, are retired and are reclaimed in this order": z3.And(
                *(_is_lifecycle_ordered(holder) for holder in holders)
            ),
        }

    def steps(self, state: Allotments, label: str) -> list[Step[Allotments]]:
        """Return all steps from `state`."""
        slots = z3.Int(f"{label}.slots")
        found = list(_limit_steps(state, slots))
        found.append(_reclaim_step(state))
        for name in self._names:
            found.extend(_process_steps(state, name, slots))
            found.extend(_settle_steps(state, name, slots))
            for peer in self._peers(name):
                found.extend(_transfer_steps(state, name, peer, slots))
        return found

    def _peers(self, name: str) -> tuple[str, ...]:
        return tuple(each for each in self._names if each != name)


def _confirmed_balance(state: Allotments, holder: Holder) -> z3.ArithRef:
    """Return the process's slots from the ledger and from reclaimed holders."""
    transferred = [
        z3.If(state.holders[peer].is_reclaimed, transfers.net, 0)
        for peer, transfers in holder.transfers.items()
    ]
    return holder.confirmed_granted + z3.Sum(transferred)


def _recorded_balance(state: Allotments, holder: Holder) -> z3.ArithRef:
    """Return the slots that the row states from the ledger and reclaimed holders."""
    transferred = [
        z3.If(
            z3.And(state.holders[peer].is_reclaimed, transfers.is_recorded),
            transfers.recorded_net,
            0,
        )
        for peer, transfers in holder.transfers.items()
    ]
    return z3.If(holder.has_row, holder.granted + z3.Sum(transferred), 0)


def _is_record_exact(peer: Holder, transfers: PeerTransfers) -> z3.BoolRef:
    return z3.And(
        z3.Implies(
            transfers.is_recorded,
            z3.And(transfers.is_closed, transfers.recorded_net == transfers.net),
        ),
        z3.Implies(transfers.is_closed, z3.Or(peer.is_retired, peer.is_reclaimed)),
    )


def _are_pending_slots_counted(state: Allotments, name: str, peer: str) -> z3.BoolRef:
    """Return whether all slots that `name` may get from `peer` are accounted for."""
    holder, other = state.holders[name], state.holders[peer]
    transfers, sent = holder.transfers[peer], other.transfers[name].sent
    is_unstarted = z3.And(z3.Not(holder.has_row), z3.Not(holder.is_reclaimed))
    has_no_transfers = z3.And(transfers.sent == 0, transfers.received == 0, sent == 0)
    return z3.And(
        z3.Implies(is_unstarted, sent == 0),
        z3.Implies(
            z3.And(holder.has_row, other.is_reclaimed),
            z3.Or(transfers.is_closed, has_no_transfers),
        ),
    )


def _is_lifecycle_ordered(holder: Holder) -> z3.BoolRef:
    return z3.And(
        z3.Implies(holder.is_up, holder.has_row),
        z3.Implies(holder.is_retired, holder.has_row),
        z3.Implies(holder.is_reclaimed, z3.Not(holder.has_row)),
        z3.Implies(
            z3.Or(z3.Not(holder.has_row), holder.is_retired),
            z3.And(z3.Not(holder.is_up), holder.running == 0),
        ),
        z3.Implies(
            z3.And(z3.Not(holder.has_row), z3.Not(holder.is_reclaimed)),
            z3.And(
                holder.confirmed_granted == 0,
                holder.granted == 0,
                *_has_no_transfers(holder),
            ),
        ),
    )


def _has_no_transfers(holder: Holder) -> Iterator[z3.BoolRef]:
    for transfers in holder.transfers.values():
        yield z3.And(transfers.sent == 0, transfers.received == 0)
        yield z3.And(z3.Not(transfers.is_closed), z3.Not(transfers.is_recorded))


def _limit_steps(state: Allotments, slots: z3.ArithRef) -> Iterator[Step[Allotments]]:
    ceiling = z3.If(slots > state.ceiling, slots, state.ceiling)
    yield Step(
        "a note commits a limit",
        {},
        replace(
            state,
            limit=slots,
            older_limit=z3.If(
                z3.Or(state.is_limit_applied, state.limit > state.older_limit),
                state.limit,
                state.older_limit,
            ),
            is_limit_applied=_FALSE,
            ceiling=ceiling,
        ),
        when=slots >= 0,
    )
    yield Step(
        "the note is accepted",
        {
            "accept once the sum fits": state.total <= state.limit,
            "accept once the ledger has applied it": state.is_limit_applied,
        },
        replace(state, ceiling=state.limit),
    )
    created = replace(state, total=state.total + slots, free=state.free + slots)
    yield Step(
        "the ledger creates slots",
        {"create inside the limit": state.total + slots <= state.limit},
        replace(created, is_limit_applied=_TRUE),
        when=slots > 0,
    )
    yield Step(
        "the ledger creates slots by an older limit",
        {"apply no older limit": z3.Not(state.is_limit_applied)},
        created,
        when=z3.And(slots > 0, state.total + slots <= state.older_limit),
    )
    destroyed = replace(state, total=state.total - slots, free=state.free - slots)
    is_free = {"destroy only what is free": slots <= state.free}
    yield Step(
        "the ledger destroys free slots",
        is_free,
        replace(destroyed, is_limit_applied=_TRUE),
        when=slots >= 0,
    )
    yield Step(
        "the ledger destroys free slots by an older limit",
        is_free,
        destroyed,
        when=slots >= 0,
    )


def _process_steps(
    state: Allotments, name: str, slots: z3.ArithRef
) -> Iterator[Step[Allotments]]:
    holder = state.holders[name]
    is_new = z3.And(z3.Not(holder.has_row), z3.Not(holder.is_reclaimed))
    yield Step(
        f"{name} starts",
        {},
        state.with_changes(name, has_row=_TRUE, is_up=_TRUE),
        when=is_new,
    )
    yield Step(
        f"{name} starts work",
        {"start inside the allotment": holder.running + slots <= holder.held},
        state.with_changes(name, running=holder.running + slots),
        when=z3.And(holder.is_up, slots > 0),
    )
    yield Step(
        f"work of {name} ends",
        {},
        state.with_changes(name, running=holder.running - slots),
        when=z3.And(slots > 0, slots <= holder.running),
    )
    yield Step(
        f"{name} crashes or leaves",
        {},
        state.with_changes(name, is_up=_FALSE),
        when=holder.is_up,
    )
    yield Step(
        f"{name} is retired",
        {
            "retire only what has ended": z3.Not(holder.is_up),
            "retire after the last deadline": holder.running == 0,
        },
        state.with_changes(name, is_retired=_TRUE),
        when=z3.And(holder.has_row, z3.Not(holder.is_retired)),
    )


def _settle_steps(
    state: Allotments, name: str, slots: z3.ArithRef
) -> Iterator[Step[Allotments]]:
    holder = state.holders[name]
    can = z3.And(holder.is_up, slots >= 0)
    taken = _with_settlement(state, name, slots)
    guards = {
        "take only what is free": slots <= state.free,
        "close before recording": z3.And(
            *(
                z3.Implies(state.holders[peer].is_retired, transfers.is_closed)
                for peer, transfers in holder.transfers.items()
            )
        ),
    }
    yield Step(
        f"{name} takes slots", guards, _confirm_settlement(taken, name), when=can
    )
    yield Step(f"{name} takes slots, and the reply is lost", guards, taken, when=can)
    yield Step(
        f"{name} deducts slots to give back",
        {"deduct only idle slots": slots <= holder.held - holder.running},
        state.with_changes(name, confirmed_granted=holder.confirmed_granted - slots),
        when=z3.And(holder.is_up, slots > 0),
    )
    returned = replace(
        state.with_changes(name, granted=holder.granted - slots),
        free=state.free + slots,
    )
    yield Step(
        f"{name} gives slots back",
        {
            "deduct before giving back": _confirmed_balance(state, holder) + slots
            <= _recorded_balance(state, holder)
        },
        returned,
        when=z3.And(holder.is_up, slots > 0),
    )


def _with_settlement(state: Allotments, name: str, slots: z3.ArithRef) -> Allotments:
    """Return the state after one settlement, before the holder gets the reply."""
    holder = state.holders[name]
    folded = [
        z3.If(
            z3.And(transfers.is_recorded, z3.Not(state.holders[peer].is_retired)),
            transfers.recorded_net,
            0,
        )
        for peer, transfers in holder.transfers.items()
    ]
    recorded = {
        peer: replace(
            transfers,
            is_recorded=state.holders[peer].is_retired,
            recorded_net=z3.If(state.holders[peer].is_retired, transfers.net, 0),
        )
        for peer, transfers in holder.transfers.items()
    }
    granted = holder.granted + slots + z3.Sum(folded)
    changed = replace(holder, granted=granted, transfers=recorded)
    return replace(state.with_holder(name, changed), free=state.free - slots)


def _confirm_settlement(state: Allotments, name: str) -> Allotments:
    """Return the state after the holder got the reply to its settlement."""
    holder = state.holders[name]
    remaining = {}
    for peer, transfers in holder.transfers.items():
        is_folded = z3.And(transfers.is_closed, z3.Not(state.holders[peer].is_retired))
        remaining[peer] = replace(
            transfers,
            sent=z3.If(is_folded, 0, transfers.sent),
            received=z3.If(is_folded, 0, transfers.received),
        )
    return state.with_holder(
        name, replace(holder, confirmed_granted=holder.granted, transfers=remaining)
    )


def _transfer_steps(
    state: Allotments, name: str, peer: str, slots: z3.ArithRef
) -> Iterator[Step[Allotments]]:
    holder, transfers = state.holders[name], state.holders[name].transfers[peer]
    is_open = {"no transfers with a closed peer": z3.Not(transfers.is_closed)}
    yield Step(
        f"{name} sends slots to {peer}",
        {"send only idle slots": slots <= holder.held - holder.running, **is_open},
        state.with_holder(
            name, holder.with_transfers(peer, sent=transfers.sent + slots)
        ),
        when=z3.And(holder.is_up, state.holders[peer].has_row, slots > 0),
    )
    # Any copy of any message may arrive; its total is at most what was ever sent.
    ever_sent = state.holders[peer].transfers[name].sent
    added = transfers.received + slots
    yield Step(
        f"{name} receives slots from {peer}",
        {"add the newest total once": added <= ever_sent, **is_open},
        state.with_holder(name, holder.with_transfers(peer, received=added)),
        when=z3.And(holder.is_up, slots > 0, slots <= ever_sent),
    )
    yield Step(
        f"{name} closes its transfers with {peer}",
        {"close only retired peers": state.holders[peer].is_retired},
        state.with_holder(name, holder.with_transfers(peer, is_closed=_TRUE)),
        when=holder.is_up,
    )


def _reclaim_step(state: Allotments) -> Step[Allotments]:
    """Return the step that frees the slots of all retired holders at once."""
    freed = []
    for holder in state.holders.values():
        kept = [
            z3.If(state.holders[peer].is_retired, transfers.recorded_net, 0)
            for peer, transfers in holder.transfers.items()
        ]
        balance = _recorded_balance(state, holder)
        is_live = z3.And(holder.has_row, z3.Not(holder.is_retired))
        freed.append(
            z3.If(holder.is_retired, balance, z3.If(is_live, -z3.Sum(kept), 0))
        )
    holders = {
        name: replace(
            holder,
            is_reclaimed=z3.Or(holder.is_reclaimed, holder.is_retired),
            has_row=z3.And(holder.has_row, z3.Not(holder.is_retired)),
            is_retired=_FALSE,
        )
        for name, holder in state.holders.items()
    }
    return Step(
        "the slots of retired holders become free",
        {"wait for every record": _are_all_transfers_recorded(state)},
        replace(state, free=state.free + z3.Sum(freed), holders=holders),
        when=z3.Or(*(holder.is_retired for holder in state.holders.values())),
    )


def _are_all_transfers_recorded(state: Allotments) -> z3.BoolRef:
    """Return whether live holders have recorded their transfers with retired ones."""
    return z3.And(
        *(
            z3.Implies(
                z3.And(
                    holder.has_row,
                    z3.Not(holder.is_retired),
                    state.holders[peer].is_retired,
                ),
                transfers.is_recorded,
            )
            for holder in state.holders.values()
            for peer, transfers in holder.transfers.items()
        )
    )
