"""Allotments of one resource: grants, transfers between holders, reclaiming.

The table's ledger says how many slots exist and how many are free; each holder's row
says what it was granted. Holders pass slots to each other without the table, counted
in totals for each pair, so messages may be lost, doubled and late. A retired holder's
slots become free only after every living one has recorded what it traded with it. Any
answer of the table may be lost.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, replace
from typing import ClassVar

import z3

from spec._engine import Step, variables

#: Starts of entry VMs in the proof: a pair trades, and a third is reclaimed.
PROOF_NAMES = ("a", "b", "c")
#: Starts in the search for counterexamples.
SEARCH_NAMES = ("a", "b")
_TRUE, _FALSE, _ZERO = z3.BoolVal(True), z3.BoolVal(False), z3.IntVal(0)


@dataclass(frozen=True)
class Trade:
    """What one holder knows and has recorded of its trade with one peer.

    Parameters
    ----------
    sent, received : z3.ArithRef
        Totals of all slots ever sent to the peer and taken from it.
    is_closed : z3.BoolRef
        Whether the process trades with the peer no more.
    is_recorded : z3.BoolRef
        Whether the holder's row says so.
    recorded_net : z3.ArithRef
        Slots received less those sent, as the row says.
    """

    sent: z3.ArithRef
    received: z3.ArithRef
    is_closed: z3.BoolRef
    is_recorded: z3.BoolRef
    recorded_net: z3.ArithRef

    @classmethod
    def fresh(cls, label: str) -> Trade:
        """Return a trade of unknowns."""
        return cls(
            sent=z3.Int(f"{label}.sent"),
            received=z3.Int(f"{label}.received"),
            is_closed=z3.Bool(f"{label}.is_closed"),
            is_recorded=z3.Bool(f"{label}.is_recorded"),
            recorded_net=z3.Int(f"{label}.recorded_net"),
        )

    @property
    def net(self) -> z3.ArithRef:
        """Slots received less those sent, as the process knows."""
        return self.received - self.sent


@dataclass(frozen=True)
class Holder:
    """One start of an entry VM: its row and its process.

    Parameters
    ----------
    has_row, is_retired, is_gone : z3.BoolRef
        Whether the row exists, whether the ledger names the holder as retired, and
        whether it was reclaimed.
    granted : z3.ArithRef
        Slots that the row says were taken from the ledger.
    is_up : z3.BoolRef
        Whether the process may start work and trade.
    known : z3.ArithRef
        `granted` as the process may rely on it.
    running : z3.ArithRef
        Slots in which its work runs, or may run after a crash.
    trades : mapping of str to Trade
    """

    has_row: z3.BoolRef
    is_retired: z3.BoolRef
    is_gone: z3.BoolRef
    granted: z3.ArithRef
    is_up: z3.BoolRef
    known: z3.ArithRef
    running: z3.ArithRef
    trades: Mapping[str, Trade]

    @classmethod
    def fresh(cls, label: str, peers: tuple[str, ...]) -> Holder:
        """Return a holder of unknowns."""
        return cls(
            has_row=z3.Bool(f"{label}.has_row"),
            is_retired=z3.Bool(f"{label}.is_retired"),
            is_gone=z3.Bool(f"{label}.is_gone"),
            granted=z3.Int(f"{label}.granted"),
            is_up=z3.Bool(f"{label}.is_up"),
            known=z3.Int(f"{label}.known"),
            running=z3.Int(f"{label}.running"),
            trades={peer: Trade.fresh(f"{label}.{peer}") for peer in peers},
        )

    @classmethod
    def unborn(cls, peers: tuple[str, ...]) -> Holder:
        """Return a holder that has not started yet."""
        none = Trade(_ZERO, _ZERO, _FALSE, _FALSE, _ZERO)
        return cls(
            has_row=_FALSE,
            is_retired=_FALSE,
            is_gone=_FALSE,
            granted=_ZERO,
            is_up=_FALSE,
            known=_ZERO,
            running=_ZERO,
            trades=dict.fromkeys(peers, none),
        )

    @property
    def held(self) -> z3.ArithRef:
        """Slots that the process has now."""
        return self.known + z3.Sum([trade.net for trade in self.trades.values()])

    def with_trade(self, peer: str, **changes: z3.ExprRef) -> Holder:
        """Return the holder with some fields of one trade changed."""
        trade = replace(self.trades[peer], **changes)
        return replace(self, trades={**self.trades, peer: trade})


@dataclass(frozen=True)
class Allotments:
    """The state of the whole protocol.

    Parameters
    ----------
    limit, older_limit : z3.ArithRef
        Upper limit of the newest committed note, and the largest of those before it
        that the ledger may still follow.
    is_followed : z3.BoolRef
        Whether the ledger has taken over the newest limit's generation.
    ceiling : z3.ArithRef
        Largest limit that no accepted note has lowered yet: what is promised.
    total, free : z3.ArithRef
        Slots that exist, and those that nobody holds.
    holders : mapping of str to Holder
    """

    limit: z3.ArithRef
    older_limit: z3.ArithRef
    is_followed: z3.BoolRef
    ceiling: z3.ArithRef
    total: z3.ArithRef
    free: z3.ArithRef
    holders: Mapping[str, Holder]

    def with_holder(self, name: str, holder: Holder) -> Allotments:
        """Return the state with one holder replaced."""
        return replace(self, holders={**self.holders, name: holder})

    def change(self, name: str, **changes: z3.ExprRef) -> Allotments:
        """Return the state with some fields of one holder changed."""
        return self.with_holder(name, replace(self.holders[name], **changes))


class AllotmentModel:
    """The specification of allotments; implements `Model`.

    Parameters
    ----------
    names : tuple of str
        The starts of entry VMs.
    """

    name = "allotments"
    search_depth = 14
    opening = ("a starts", "b starts", "the ledger creates slots", "a takes slots")
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
            "the slots of the retired become free",
        ),
        "trade with no closed peer": (
            "a sends slots to b",
            "a crashes or leaves",
            "a is retired",
            "b closes its trade with a",
            "b takes slots",
            "the slots of the retired become free",
        ),
        "retire past the last deadline": (
            "a starts work",
            "a crashes or leaves",
            "a is retired",
        ),
    }

    def __init__(self, names: tuple[str, ...] = PROOF_NAMES) -> None:
        self._names = names

    def fresh(self, label: str) -> Allotments:
        """Return a state of unknowns."""
        return Allotments(
            limit=z3.Int(f"{label}.limit"),
            older_limit=z3.Int(f"{label}.older_limit"),
            is_followed=z3.Bool(f"{label}.is_followed"),
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
            is_followed=_TRUE,
            ceiling=state.limit,
            total=_ZERO,
            free=_ZERO,
            holders={name: Holder.unborn(self._peers(name)) for name in self._names},
        )
        pairs = zip(variables(state), variables(start), strict=True)
        same = [term == value for (_, term), (_, value) in pairs]
        return z3.And(state.limit >= 0, *same)

    def promises(self, state: Allotments) -> Mapping[str, z3.BoolRef]:
        """Return what users are promised."""
        running = z3.Sum([holder.running for holder in state.holders.values()])
        return {"running never above the limit": running <= state.ceiling}

    def lemmas(self, state: Allotments) -> Mapping[str, z3.BoolRef]:
        """Return the further invariants of the proof."""
        holders = state.holders.values()
        recorded = [_recorded_worth(state, holder) for holder in holders]
        return {
            "slots that exist are within the limits": z3.And(
                state.total <= state.ceiling,
                state.limit <= state.ceiling,
                z3.Or(state.is_followed, state.older_limit <= state.ceiling),
            ),
            "no slot is made or lost by settling": (
                state.free + z3.Sum(recorded) == state.total
            ),
            "free slots are never negative": state.free >= 0,
            "work stays inside what is held": z3.And(
                *(
                    z3.And(holder.running >= 0, holder.running <= holder.held)
                    for holder in holders
                )
            ),
            "a process relies on no more than its row": z3.And(
                *(
                    z3.Implies(
                        holder.has_row,
                        _known_worth(state, holder) <= _recorded_worth(state, holder),
                    )
                    for holder in holders
                )
            ),
            "nobody receives more than was sent": z3.And(
                *(
                    z3.And(
                        trade.sent >= 0,
                        trade.received >= 0,
                        z3.Or(
                            state.holders[peer].is_gone,
                            holder.is_gone,
                            trade.received <= state.holders[peer].trades[name].sent,
                        ),
                    )
                    for name, holder in state.holders.items()
                    for peer, trade in holder.trades.items()
                )
            ),
            "what is recorded of a closed trade stays true": z3.And(
                *(
                    _is_record_true(state.holders[peer], trade)
                    for holder in holders
                    for peer, trade in holder.trades.items()
                )
            ),
            "nothing is under way from the gone or to the unborn": z3.And(
                *(
                    _is_reachable(state, name, peer)
                    for name, holder in state.holders.items()
                    for peer in holder.trades
                )
            ),
            "holders start, retire and go in order": z3.And(
                *(_is_life_ordered(holder) for holder in holders)
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
                found.extend(_trade_steps(state, name, peer, slots))
        return found

    def _peers(self, name: str) -> tuple[str, ...]:
        return tuple(each for each in self._names if each != name)


def _known_worth(state: Allotments, holder: Holder) -> z3.ArithRef:
    """Return what the process has from the table and from holders that are gone."""
    traded = [
        z3.If(state.holders[peer].is_gone, trade.net, 0)
        for peer, trade in holder.trades.items()
    ]
    return holder.known + z3.Sum(traded)


def _recorded_worth(state: Allotments, holder: Holder) -> z3.ArithRef:
    """Return what the row gives the holder from the table and from those gone."""
    traded = [
        z3.If(
            z3.And(state.holders[peer].is_gone, trade.is_recorded),
            trade.recorded_net,
            0,
        )
        for peer, trade in holder.trades.items()
    ]
    return z3.If(holder.has_row, holder.granted + z3.Sum(traded), 0)


def _is_record_true(peer: Holder, trade: Trade) -> z3.BoolRef:
    return z3.And(
        z3.Implies(
            trade.is_recorded,
            z3.And(trade.is_closed, trade.recorded_net == trade.net),
        ),
        z3.Implies(trade.is_closed, z3.Or(peer.is_retired, peer.is_gone)),
    )


def _is_reachable(state: Allotments, name: str, peer: str) -> z3.BoolRef:
    """Return whether `name` can get from `peer` only what will be accounted for."""
    holder, other = state.holders[name], state.holders[peer]
    trade, sent = holder.trades[peer], other.trades[name].sent
    is_unborn = z3.And(z3.Not(holder.has_row), z3.Not(holder.is_gone))
    is_untraded = z3.And(trade.sent == 0, trade.received == 0, sent == 0)
    return z3.And(
        z3.Implies(is_unborn, sent == 0),
        z3.Implies(
            z3.And(holder.has_row, other.is_gone), z3.Or(trade.is_closed, is_untraded)
        ),
    )


def _is_life_ordered(holder: Holder) -> z3.BoolRef:
    return z3.And(
        z3.Implies(holder.is_up, holder.has_row),
        z3.Implies(holder.is_retired, holder.has_row),
        z3.Implies(holder.is_gone, z3.Not(holder.has_row)),
        z3.Implies(
            z3.Or(z3.Not(holder.has_row), holder.is_retired),
            z3.And(z3.Not(holder.is_up), holder.running == 0),
        ),
        z3.Implies(
            z3.And(z3.Not(holder.has_row), z3.Not(holder.is_gone)),
            z3.And(holder.known == 0, holder.granted == 0, *_is_untraded(holder)),
        ),
    )


def _is_untraded(holder: Holder) -> Iterator[z3.BoolRef]:
    for trade in holder.trades.values():
        yield z3.And(trade.sent == 0, trade.received == 0)
        yield z3.And(z3.Not(trade.is_closed), z3.Not(trade.is_recorded))


def _limit_steps(state: Allotments, slots: z3.ArithRef) -> Iterator[Step[Allotments]]:
    ceiling = z3.If(slots > state.ceiling, slots, state.ceiling)
    yield Step(
        "a note commits a limit",
        {},
        replace(
            state,
            limit=slots,
            older_limit=z3.If(
                z3.Or(state.is_followed, state.limit > state.older_limit),
                state.limit,
                state.older_limit,
            ),
            is_followed=_FALSE,
            ceiling=ceiling,
        ),
        when=slots >= 0,
    )
    yield Step(
        "the note is accepted",
        {
            "accept once the sum fits": state.total <= state.limit,
            "accept once the ledger follows": state.is_followed,
        },
        replace(state, ceiling=state.limit),
    )
    created = replace(state, total=state.total + slots, free=state.free + slots)
    yield Step(
        "the ledger creates slots",
        {"create inside the limit": state.total + slots <= state.limit},
        replace(created, is_followed=_TRUE),
        when=slots > 0,
    )
    yield Step(
        "the ledger creates slots by an older limit",
        {"follow no older limit": z3.Not(state.is_followed)},
        created,
        when=z3.And(slots > 0, state.total + slots <= state.older_limit),
    )
    destroyed = replace(state, total=state.total - slots, free=state.free - slots)
    is_free = {"destroy only what is free": slots <= state.free}
    yield Step(
        "the ledger destroys free slots",
        is_free,
        replace(destroyed, is_followed=_TRUE),
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
    is_new = z3.And(z3.Not(holder.has_row), z3.Not(holder.is_gone))
    yield Step(
        f"{name} starts",
        {},
        state.change(name, has_row=_TRUE, is_up=_TRUE),
        when=is_new,
    )
    yield Step(
        f"{name} starts work",
        {"start inside the allotment": holder.running + slots <= holder.held},
        state.change(name, running=holder.running + slots),
        when=z3.And(holder.is_up, slots > 0),
    )
    yield Step(
        f"work of {name} ends",
        {},
        state.change(name, running=holder.running - slots),
        when=z3.And(slots > 0, slots <= holder.running),
    )
    yield Step(
        f"{name} crashes or leaves",
        {},
        state.change(name, is_up=_FALSE),
        when=holder.is_up,
    )
    yield Step(
        f"{name} is retired",
        {
            "retire only what has ended": z3.Not(holder.is_up),
            "retire past the last deadline": holder.running == 0,
        },
        state.change(name, is_retired=_TRUE),
        when=z3.And(holder.has_row, z3.Not(holder.is_retired)),
    )


def _settle_steps(
    state: Allotments, name: str, slots: z3.ArithRef
) -> Iterator[Step[Allotments]]:
    holder = state.holders[name]
    can = z3.And(holder.is_up, slots >= 0)
    taken = _settle(state, name, slots)
    guards = {
        "take only what is free": slots <= state.free,
        "close before recording": z3.And(
            *(
                z3.Implies(state.holders[peer].is_retired, trade.is_closed)
                for peer, trade in holder.trades.items()
            )
        ),
    }
    yield Step(f"{name} takes slots", guards, _hear(taken, name), when=can)
    yield Step(f"{name} takes slots, and the answer is lost", guards, taken, when=can)
    yield Step(
        f"{name} deducts slots to give back",
        {"deduct only idle slots": slots <= holder.held - holder.running},
        state.change(name, known=holder.known - slots),
        when=z3.And(holder.is_up, slots > 0),
    )
    returned = replace(
        state.change(name, granted=holder.granted - slots), free=state.free + slots
    )
    yield Step(
        f"{name} gives slots back",
        {
            "deduct before giving back": _known_worth(state, holder) + slots
            <= _recorded_worth(state, holder)
        },
        returned,
        when=z3.And(holder.is_up, slots > 0),
    )


def _settle(state: Allotments, name: str, slots: z3.ArithRef) -> Allotments:
    """Return the tables after one settlement, before the holder hears of it."""
    holder = state.holders[name]
    folded = [
        z3.If(
            z3.And(trade.is_recorded, z3.Not(state.holders[peer].is_retired)),
            trade.recorded_net,
            0,
        )
        for peer, trade in holder.trades.items()
    ]
    trades = {
        peer: replace(
            trade,
            is_recorded=state.holders[peer].is_retired,
            recorded_net=z3.If(state.holders[peer].is_retired, trade.net, 0),
        )
        for peer, trade in holder.trades.items()
    }
    granted = holder.granted + slots + z3.Sum(folded)
    changed = replace(holder, granted=granted, trades=trades)
    return replace(state.with_holder(name, changed), free=state.free - slots)


def _hear(state: Allotments, name: str) -> Allotments:
    """Return the state after the holder learnt that its settlement took effect."""
    holder = state.holders[name]
    trades = {}
    for peer, trade in holder.trades.items():
        is_folded = z3.And(trade.is_closed, z3.Not(state.holders[peer].is_retired))
        trades[peer] = replace(
            trade,
            sent=z3.If(is_folded, 0, trade.sent),
            received=z3.If(is_folded, 0, trade.received),
        )
    return state.with_holder(name, replace(holder, known=holder.granted, trades=trades))


def _trade_steps(
    state: Allotments, name: str, peer: str, slots: z3.ArithRef
) -> Iterator[Step[Allotments]]:
    holder, trade = state.holders[name], state.holders[name].trades[peer]
    is_open = {"trade with no closed peer": z3.Not(trade.is_closed)}
    yield Step(
        f"{name} sends slots to {peer}",
        {"send only idle slots": slots <= holder.held - holder.running, **is_open},
        state.with_holder(name, holder.with_trade(peer, sent=trade.sent + slots)),
        when=z3.And(holder.is_up, state.holders[peer].has_row, slots > 0),
    )
    # Any copy of any message may arrive: its total is at most what was ever sent.
    ever_sent = state.holders[peer].trades[name].sent
    added = trade.received + slots
    yield Step(
        f"{name} receives slots from {peer}",
        {"add the newest total once": added <= ever_sent, **is_open},
        state.with_holder(name, holder.with_trade(peer, received=added)),
        when=z3.And(holder.is_up, slots > 0, slots <= ever_sent),
    )
    yield Step(
        f"{name} closes its trade with {peer}",
        {"close only the retired": state.holders[peer].is_retired},
        state.with_holder(name, holder.with_trade(peer, is_closed=_TRUE)),
        when=holder.is_up,
    )


def _reclaim_step(state: Allotments) -> Step[Allotments]:
    """Return the step that frees the slots of all retired holders at once."""
    freed = []
    for holder in state.holders.values():
        kept = [
            z3.If(state.holders[peer].is_retired, trade.recorded_net, 0)
            for peer, trade in holder.trades.items()
        ]
        worth = _recorded_worth(state, holder)
        is_living = z3.And(holder.has_row, z3.Not(holder.is_retired))
        freed.append(
            z3.If(holder.is_retired, worth, z3.If(is_living, -z3.Sum(kept), 0))
        )
    holders = {
        name: replace(
            holder,
            is_gone=z3.Or(holder.is_gone, holder.is_retired),
            has_row=z3.And(holder.has_row, z3.Not(holder.is_retired)),
            is_retired=_FALSE,
        )
        for name, holder in state.holders.items()
    }
    return Step(
        "the slots of the retired become free",
        {"wait for every record": _is_every_trade_recorded(state)},
        replace(state, free=state.free + z3.Sum(freed), holders=holders),
        when=z3.Or(*(holder.is_retired for holder in state.holders.values())),
    )


def _is_every_trade_recorded(state: Allotments) -> z3.BoolRef:
    """Return whether all living holders have recorded their trade with the retired."""
    return z3.And(
        *(
            z3.Implies(
                z3.And(
                    holder.has_row,
                    z3.Not(holder.is_retired),
                    state.holders[peer].is_retired,
                ),
                trade.is_recorded,
            )
            for holder in state.holders.values()
            for peer, trade in holder.trades.items()
        )
    )
