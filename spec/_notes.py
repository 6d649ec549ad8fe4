"""Commit and acceptance of release notes under configuration leases.

Time is a real number; clocks drift within a bound, and every duration on a holder's
clock is taken as the maximum. A renewal may take effect late, and its reply may be
lost, delayed or duplicated. A renewal that a peer writes on a holder's behalf is a
renewal by another path, with the same record of when the holder sent it.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, replace
from typing import ClassVar

import z3

from spec._engine import Step, variables

#: Incarnations in the proof; they interact only through the head.
PROOF_NAMES = ("a", "b")
#: Incarnations in the search for counterexamples.
SEARCH_NAMES = ("a",)
#: Paths by which a renewal reaches the store.
RENEWAL_PATHS = ("direct", "peer")
#: Reciprocal of the maximum drift between two clocks.
DRIFT_DENOMINATOR = 100
_TRUE, _FALSE = z3.BoolVal(True), z3.BoolVal(False)
_ZERO, _NO_TIME = z3.IntVal(0), z3.RealVal(0)


def max_lease_s(lease_s: z3.ArithRef) -> z3.ArithRef:
    """Return the maximum duration of a lease of `lease_s` on a drifting clock."""
    return lease_s * z3.Q(DRIFT_DENOMINATOR + 1, DRIFT_DENOMINATOR)


@dataclass(frozen=True)
class Renewal:
    """A pending renewal.

    Parameters
    ----------
    number : z3.ArithRef
        Incremented by each renewal of the holder; zero if there is none.
    sent_at_s : z3.ArithRef
        Time just before the holder sent it.
    generation, lease_s : z3.ArithRef
        Generation and length of the lease that it states.
    bound_s : z3.ArithRef
        Latest expiry that it and all later renewals allow, by the slowest clock.
    is_applied : z3.BoolRef
        Whether it took effect, so that its reply may arrive at any time.
    """

    number: z3.ArithRef
    sent_at_s: z3.ArithRef
    generation: z3.ArithRef
    lease_s: z3.ArithRef
    bound_s: z3.ArithRef
    is_applied: z3.BoolRef

    @classmethod
    def fresh(cls, label: str) -> Renewal:
        """Return a renewal of fresh constants."""
        return cls(
            number=z3.Int(f"{label}.number"),
            sent_at_s=z3.Real(f"{label}.sent_at_s"),
            generation=z3.Int(f"{label}.generation"),
            lease_s=z3.Real(f"{label}.lease_s"),
            bound_s=z3.Real(f"{label}.bound_s"),
            is_applied=z3.Bool(f"{label}.is_applied"),
        )


@dataclass(frozen=True)
class Incarnation:
    """One incarnation of a daemon: its process, its row, and what observers have read.

    Parameters
    ----------
    is_up : z3.BoolRef
    read_generation, read_lease_s : z3.ArithRef
        Result of the newest read of the head, which may arrive late.
    applied, applied_lease_s : z3.ArithRef
        Generation in force, and the length of the lease that it sets.
    highest : z3.ArithRef
        Highest generation that was ever in force in this incarnation.
    expiry_s : z3.ArithRef
        Expiry of the lease, by the slowest clock.
    last_number : z3.ArithRef
        Number of the newest renewal.
    renewals : mapping of str to Renewal
    has_row : z3.BoolRef
    row_version, row_generation, row_lease_s : z3.ArithRef
    observed_head, observed_at_s : z3.ArithRef
        Head that an observer waiting for acceptance has read, and when.
    cleanup_version, cleanup_read_at_s : z3.ArithRef
        Version of the row that the cleanup has read, and when.
    """

    is_up: z3.BoolRef
    read_generation: z3.ArithRef
    read_lease_s: z3.ArithRef
    applied: z3.ArithRef
    applied_lease_s: z3.ArithRef
    highest: z3.ArithRef
    expiry_s: z3.ArithRef
    last_number: z3.ArithRef
    renewals: Mapping[str, Renewal]
    has_row: z3.BoolRef
    row_version: z3.ArithRef
    row_generation: z3.ArithRef
    row_lease_s: z3.ArithRef
    observed_head: z3.ArithRef
    observed_at_s: z3.ArithRef
    cleanup_version: z3.ArithRef
    cleanup_read_at_s: z3.ArithRef

    @classmethod
    def fresh(cls, label: str) -> Incarnation:
        """Return an incarnation of fresh constants."""
        return cls(
            is_up=z3.Bool(f"{label}.is_up"),
            read_generation=z3.Int(f"{label}.read_generation"),
            read_lease_s=z3.Real(f"{label}.read_lease_s"),
            applied=z3.Int(f"{label}.applied"),
            applied_lease_s=z3.Real(f"{label}.applied_lease_s"),
            highest=z3.Int(f"{label}.highest"),
            expiry_s=z3.Real(f"{label}.expiry_s"),
            last_number=z3.Int(f"{label}.last_number"),
            renewals={path: Renewal.fresh(f"{label}.{path}") for path in RENEWAL_PATHS},
            has_row=z3.Bool(f"{label}.has_row"),
            row_version=z3.Int(f"{label}.row_version"),
            row_generation=z3.Int(f"{label}.row_generation"),
            row_lease_s=z3.Real(f"{label}.row_lease_s"),
            observed_head=z3.Int(f"{label}.observed_head"),
            observed_at_s=z3.Real(f"{label}.observed_at_s"),
            cleanup_version=z3.Int(f"{label}.cleanup_version"),
            cleanup_read_at_s=z3.Real(f"{label}.cleanup_read_at_s"),
        )

    @classmethod
    def initial(cls) -> Incarnation:
        """Return an incarnation that has not started yet."""
        none = Renewal(_ZERO, _NO_TIME, _ZERO, _NO_TIME, _NO_TIME, _FALSE)
        return cls(
            is_up=_FALSE,
            read_generation=_ZERO,
            read_lease_s=_NO_TIME,
            applied=_ZERO,
            applied_lease_s=_NO_TIME,
            highest=_ZERO,
            expiry_s=_NO_TIME,
            last_number=_ZERO,
            renewals=dict.fromkeys(RENEWAL_PATHS, none),
            has_row=_FALSE,
            row_version=_ZERO,
            row_generation=_ZERO,
            row_lease_s=_NO_TIME,
            observed_head=_ZERO,
            observed_at_s=_NO_TIME,
            cleanup_version=_ZERO,
            cleanup_read_at_s=_NO_TIME,
        )


@dataclass(frozen=True)
class Configurations:
    """State of the whole protocol.

    Parameters
    ----------
    now_s : z3.ArithRef
    head, head_lease_s : z3.ArithRef
        Newest committed generation, and the length of the lease that it sets.
    highest_head : z3.ArithRef
        Highest generation that was ever the head.
    accepted : z3.ArithRef
        Newest generation that was reported to an operator as in force everywhere.
    has_served_stale : z3.BoolRef
        Whether keyed work was ever served under a generation older than an
        accepted one.
    incarnations : mapping of str to Incarnation
    """

    now_s: z3.ArithRef
    head: z3.ArithRef
    head_lease_s: z3.ArithRef
    highest_head: z3.ArithRef
    accepted: z3.ArithRef
    has_served_stale: z3.BoolRef
    incarnations: Mapping[str, Incarnation]

    def with_incarnation(self, name: str, **changes: object) -> Configurations:
        """Return the state with some fields of one incarnation changed."""
        changed = replace(self.incarnations[name], **changes)  # type: ignore[arg-type]
        return replace(self, incarnations={**self.incarnations, name: changed})


class NoteModel:
    """The specification of commit and acceptance; implements `Model`.

    Parameters
    ----------
    names : tuple of str
        Incarnations of daemons.
    """

    name = "notes"
    search_depth = 20
    prefix = (
        "a note is committed",
        "a starts",
        "a reads the head",
        "a applies what it read",
        "a requests a renewal (direct)",
        "the renewal of a takes effect (direct)",
        "a receives the confirmation (direct)",
    )
    hints: ClassVar[Mapping[str, tuple[str, ...]]] = {
        "shorten the lease before stating it": (
            "a note is committed",
            "a reads the head",
            "a applies what it read",
            "a requests a renewal (direct)",
            "the renewal of a takes effect (direct)",
        ),
        "extend no further than later renewals": (
            "a requests a renewal (direct)",
            "the renewal of a takes effect (direct)",
            "a note is committed",
            "a reads the head",
            "a applies what it read",
            "a requests a renewal (peer)",
            "the renewal of a takes effect (peer)",
        ),
        "renew only under the head": (
            "a requests a renewal (direct)",
            "a note is committed",
        ),
        "delete only an unchanged row": (
            "the cleanup reads the row of a",
            "a requests a renewal (direct)",
            "the renewal of a takes effect (direct)",
        ),
        "count from the first observation": (
            "time passes",
            "a requests a renewal (direct)",
            "the renewal of a takes effect (direct)",
            "a receives the confirmation (direct)",
            "a note is committed",
        ),
    }

    def __init__(self, names: tuple[str, ...] = PROOF_NAMES) -> None:
        self._names = names

    def fresh(self, label: str) -> Configurations:
        """Return a state of fresh constants."""
        return Configurations(
            now_s=z3.Real(f"{label}.now_s"),
            head=z3.Int(f"{label}.head"),
            head_lease_s=z3.Real(f"{label}.head_lease_s"),
            highest_head=z3.Int(f"{label}.highest_head"),
            accepted=z3.Int(f"{label}.accepted"),
            has_served_stale=z3.Bool(f"{label}.has_served_stale"),
            incarnations={
                name: Incarnation.fresh(f"{label}.{name}") for name in self._names
            },
        )

    def is_initial(self, state: Configurations) -> z3.BoolRef:
        """Return whether nothing has happened yet."""
        start = Configurations(
            now_s=_NO_TIME,
            head=_ZERO,
            head_lease_s=_NO_TIME,
            highest_head=_ZERO,
            accepted=_ZERO,
            has_served_stale=_FALSE,
            incarnations=dict.fromkeys(self._names, Incarnation.initial()),
        )
        pairs = zip(variables(state), variables(start), strict=True)
        return z3.And(*(term == value for (_, term), (_, value) in pairs))

    def safety_properties(self, state: Configurations) -> Mapping[str, z3.BoolRef]:
        """Return the safety properties."""
        return {
            "keyed work is never served under an outdated generation": z3.Not(
                state.has_served_stale
            ),
            "generations never decrease": z3.And(
                state.head == state.highest_head,
                *(each.applied == each.highest for each in _incarnations(state)),
            ),
        }

    def lemmas(self, state: Configurations) -> Mapping[str, z3.BoolRef]:
        """Return the auxiliary invariants of the proof."""
        found = {
            "times and numbers are ordered": _is_ordered(state),
            "each generation sets one lease length": _has_one_lease_length(state),
        }
        parts = {
            "renewals are ordered": _are_renewals_ordered,
            "the row states what was applied": _is_row_applied,
            "observers wait until the lease has expired": _is_expiry_wait_sufficient,
            "a pending renewal states a lease that is long enough": (
                _is_next_wait_sufficient
            ),
            "a held lease is under the accepted generation or newer": _is_lease_current,
        }
        for name, part in parts.items():
            found[name] = z3.And(*(part(state, each) for each in _incarnations(state)))
        return found

    def steps(self, state: Configurations, label: str) -> list[Step[Configurations]]:
        """Return all steps from `state`."""
        moment_s, length_s = z3.Real(f"{label}.moment_s"), z3.Real(f"{label}.length_s")
        generation = z3.Int(f"{label}.generation")
        found = list(_note_steps(state, generation, moment_s, length_s))
        for name in self._names:
            found.extend(_process_steps(state, name, generation, length_s))
            found.extend(_row_steps(state, name, moment_s))
            for path in RENEWAL_PATHS:
                found.append(_request_step(state, name, path, generation, moment_s))
                found.extend(_renewal_steps(state, name, path, moment_s, length_s))
        return found


def _note_steps(
    state: Configurations,
    generation: z3.ArithRef,
    moment_s: z3.ArithRef,
    length_s: z3.ArithRef,
) -> Iterator[Step[Configurations]]:
    yield Step(
        "time passes", {}, replace(state, now_s=moment_s), when=moment_s > state.now_s
    )
    highest = z3.If(generation > state.highest_head, generation, state.highest_head)
    yield Step(
        "a note is committed",
        {"commit on top of the head": generation == state.head + 1},
        replace(state, head=generation, head_lease_s=length_s, highest_head=highest),
        when=z3.And(length_s >= 0, generation >= 0),
    )
    yield Step(
        "a note is accepted",
        _acceptance_guards(state, generation),
        replace(state, accepted=generation),
        when=z3.And(generation > state.accepted, generation <= state.head),
    )


def _acceptance_guards(
    state: Configurations, generation: z3.ArithRef
) -> dict[str, z3.BoolRef]:
    """Return that each row states the generation or its lease has certainly expired."""
    is_shown = {
        name: z3.Or(z3.Not(each.has_row), each.row_generation >= generation)
        for name, each in state.incarnations.items()
    }
    expired = {
        name: {
            "observe a head newer than the row's": each.observed_head
            > each.row_generation,
            **_wait_guards(state, each, each.observed_at_s),
        }
        for name, each in state.incarnations.items()
    }
    return {
        guard: z3.And(
            *(
                z3.Or(is_shown[name], expired[name][guard])
                for name in state.incarnations
            )
        )
        for guard in next(iter(expired.values()))
    }


def _wait_guards(
    state: Configurations, each: Incarnation, since_s: z3.ArithRef
) -> dict[str, z3.BoolRef]:
    waited_s = state.now_s - since_s
    return {
        "wait out the stated lease": waited_s >= each.row_lease_s,
        "allow for drift": z3.Or(
            waited_s < each.row_lease_s, waited_s >= max_lease_s(each.row_lease_s)
        ),
    }


def _process_steps(
    state: Configurations, name: str, generation: z3.ArithRef, length_s: z3.ArithRef
) -> Iterator[Step[Configurations]]:
    each = state.incarnations[name]
    started = replace(Incarnation.initial(), is_up=_TRUE)
    yield Step(
        f"{name} starts",
        {},
        replace(state, incarnations={**state.incarnations, name: started}),
        when=z3.And(z3.Not(each.is_up), z3.Not(each.has_row)),
    )
    yield Step(
        f"{name} crashes",
        {},
        state.with_incarnation(name, is_up=_FALSE),
        when=each.is_up,
    )
    # A reply may be late: it shows the current head or an earlier one.
    is_head = z3.And(generation == state.head, length_s == state.head_lease_s)
    is_older = z3.And(generation >= 0, generation < state.head, length_s >= 0)
    yield Step(
        f"{name} reads the head",
        {},
        state.with_incarnation(name, read_generation=generation, read_lease_s=length_s),
        when=z3.And(each.is_up, z3.Or(is_head, is_older)),
    )
    highest = z3.If(
        each.read_generation > each.highest, each.read_generation, each.highest
    )
    yield Step(
        f"{name} applies what it read",
        {"apply only what is newer": each.read_generation > each.applied},
        state.with_incarnation(
            name,
            applied=each.read_generation,
            applied_lease_s=each.read_lease_s,
            highest=highest,
        ),
        when=each.is_up,
    )
    is_stale = state.accepted > each.applied
    yield Step(
        f"{name} serves keyed work",
        {"serve inside the lease": state.now_s < each.expiry_s},
        replace(state, has_served_stale=z3.Or(state.has_served_stale, is_stale)),
        when=each.is_up,
    )


def _row_steps(
    state: Configurations, name: str, moment_s: z3.ArithRef
) -> Iterator[Step[Configurations]]:
    each = state.incarnations[name]
    can_read = z3.And(moment_s <= state.now_s, moment_s >= 0)
    is_now = {"count from the first observation": moment_s == state.now_s}
    yield Step(
        f"the observer of {name} reads the head",
        is_now,
        state.with_incarnation(name, observed_head=state.head, observed_at_s=moment_s),
        when=can_read,
    )
    yield Step(
        f"the cleanup reads the row of {name}",
        is_now,
        state.with_incarnation(
            name, cleanup_version=each.row_version, cleanup_read_at_s=moment_s
        ),
        when=z3.And(each.has_row, can_read),
    )
    yield Step(
        f"the cleanup deletes the row of {name}",
        {
            "delete only an unchanged row": each.cleanup_version == each.row_version,
            **_wait_guards(state, each, each.cleanup_read_at_s),
        },
        state.with_incarnation(name, has_row=_FALSE),
        when=each.has_row,
    )
    yield Step(
        f"{name} leaves",
        {},
        state.with_incarnation(name, is_up=_FALSE, has_row=_FALSE),
        when=each.is_up,
    )


def _request_step(
    state: Configurations,
    name: str,
    path: str,
    generation: z3.ArithRef,
    moment_s: z3.ArithRef,
) -> Step[Configurations]:
    each = state.incarnations[name]
    ends_s = state.now_s + max_lease_s(each.applied_lease_s)
    request = Renewal(
        number=each.last_number + 1,
        sent_at_s=state.now_s,
        generation=generation,
        lease_s=each.applied_lease_s,
        bound_s=ends_s,
        is_applied=_FALSE,
    )
    earlier = {
        other: replace(renewal, bound_s=_earlier(renewal.bound_s, ends_s))
        for other, renewal in each.renewals.items()
    }
    return Step(
        f"{name} requests a renewal ({path})",
        {
            "state what is applied": generation == each.applied,
            "shorten the lease before stating it": moment_s <= ends_s,
        },
        state.with_incarnation(
            name,
            last_number=each.last_number + 1,
            expiry_s=moment_s,
            renewals={**earlier, path: request},
        ),
        when=z3.And(each.is_up, generation >= 0, moment_s <= each.expiry_s),
    )


def _renewal_steps(
    state: Configurations,
    name: str,
    path: str,
    moment_s: z3.ArithRef,
    length_s: z3.ArithRef,
) -> Iterator[Step[Configurations]]:
    each = state.incarnations[name]
    renewal = each.renewals[path]
    yield Step(
        f"the renewal of {name} takes effect ({path})",
        {"renew only under the head": renewal.generation == state.head},
        state.with_incarnation(
            name,
            has_row=_TRUE,
            row_version=each.row_version + 1,
            row_generation=renewal.generation,
            row_lease_s=renewal.lease_s,
            renewals={**each.renewals, path: replace(renewal, is_applied=_TRUE)},
        ),
        when=z3.And(renewal.number > 0, z3.Not(renewal.is_applied)),
    )
    ends_s = moment_s + max_lease_s(length_s)
    yield Step(
        f"{name} receives the confirmation ({path})",
        {
            "count from before sending": moment_s <= renewal.sent_at_s,
            "hold no longer than stated": length_s <= renewal.lease_s,
            "extend no further than later renewals": z3.Or(
                renewal.number == each.last_number, ends_s <= renewal.bound_s
            ),
        },
        state.with_incarnation(
            name,
            expiry_s=z3.If(ends_s > each.expiry_s, ends_s, each.expiry_s),
        ),
        when=z3.And(
            each.is_up, renewal.is_applied, moment_s <= state.now_s, length_s >= 0
        ),
    )


def _earlier(one_s: z3.ArithRef, other_s: z3.ArithRef) -> z3.ArithRef:
    return z3.If(one_s < other_s, one_s, other_s)


def _incarnations(state: Configurations) -> tuple[Incarnation, ...]:
    return tuple(state.incarnations.values())


def _is_ordered(state: Configurations) -> z3.BoolRef:
    return z3.And(
        state.now_s >= 0,
        state.head >= 0,
        state.head_lease_s >= 0,
        z3.Implies(state.head == 0, state.head_lease_s == 0),
        state.accepted <= state.head,
        *(
            z3.And(
                each.read_generation <= state.head,
                each.applied <= state.head,
                each.cleanup_version <= each.row_version,
                each.observed_head <= state.head,
                each.observed_at_s <= state.now_s,
                each.cleanup_read_at_s <= state.now_s,
                each.applied_lease_s >= 0,
                each.read_lease_s >= 0,
                each.row_lease_s >= 0,
            )
            for each in _incarnations(state)
        ),
    )


def _has_one_lease_length(state: Configurations) -> z3.BoolRef:
    """Return whether all state of the head's generation has the head's lease length."""
    found = []
    for each in _incarnations(state):
        pairs = [
            (each.read_generation, each.read_lease_s),
            (each.applied, each.applied_lease_s),
        ]
        found += [
            z3.Implies(generation == state.head, lease_s == state.head_lease_s)
            for generation, lease_s in pairs
        ]
        found += [
            z3.Implies(
                z3.And(renewal.number > 0, renewal.generation == state.head),
                renewal.lease_s == state.head_lease_s,
            )
            for renewal in each.renewals.values()
        ]
        found.append(
            z3.Implies(
                z3.And(each.has_row, each.row_generation == state.head),
                each.row_lease_s == state.head_lease_s,
            )
        )
    return z3.And(*found)


def _are_renewals_ordered(state: Configurations, each: Incarnation) -> z3.BoolRef:
    direct, peer = (each.renewals[path] for path in RENEWAL_PATHS)
    found = [
        z3.Implies(
            z3.And(direct.number > 0, peer.number > 0, direct.number < peer.number),
            direct.generation <= peer.generation,
        ),
        z3.Implies(
            z3.And(direct.number > 0, peer.number > 0, peer.number < direct.number),
            peer.generation <= direct.generation,
        ),
        z3.Implies(
            z3.And(direct.number > 0, peer.number > 0), direct.number != peer.number
        ),
    ]
    for renewal in (direct, peer):
        ends_s = renewal.sent_at_s + max_lease_s(renewal.lease_s)
        found.append(
            z3.And(
                renewal.number >= 0,
                renewal.number <= each.last_number,
                renewal.lease_s >= 0,
                renewal.sent_at_s <= state.now_s,
                renewal.bound_s <= ends_s,
                z3.Or(renewal.number != each.last_number, renewal.bound_s == ends_s),
                z3.Implies(renewal.number > 0, renewal.generation <= each.applied),
                z3.Implies(renewal.is_applied, renewal.number > 0),
            )
        )
    return z3.And(*found)


def _is_row_applied(state: Configurations, each: Incarnation) -> z3.BoolRef:
    return z3.Implies(each.has_row, each.row_generation <= each.applied)


def _lease_ends(each: Incarnation) -> Iterator[tuple[z3.BoolRef, z3.ArithRef]]:
    """Yield the end of each lease that the process holds or may have confirmed."""
    yield each.is_up, each.expiry_s
    for renewal in each.renewals.values():
        yield z3.And(each.is_up, renewal.is_applied), renewal.bound_s


def _is_expiry_wait_sufficient(state: Configurations, each: Incarnation) -> z3.BoolRef:
    """Return whether no observer can consider a lease expired that is still held."""
    bound_s = max_lease_s(each.row_lease_s)
    is_superseded = each.observed_head > each.row_generation
    is_unchanged = each.cleanup_version == each.row_version
    return z3.And(
        *(
            z3.Implies(
                z3.And(exists, end_s > state.now_s),
                z3.And(
                    each.has_row,
                    end_s <= state.now_s + bound_s,
                    z3.Implies(is_superseded, end_s <= each.observed_at_s + bound_s),
                    z3.Implies(is_unchanged, end_s <= each.cleanup_read_at_s + bound_s),
                ),
            )
            for exists, end_s in _lease_ends(each)
        )
    )


def _is_next_wait_sufficient(state: Configurations, each: Incarnation) -> z3.BoolRef:
    """Return whether no pending renewal would state a lease that is too short."""
    return z3.And(
        *(
            z3.Implies(
                z3.And(
                    exists,
                    renewal.number > 0,
                    z3.Not(renewal.is_applied),
                    renewal.generation == state.head,
                ),
                end_s <= state.now_s + max_lease_s(renewal.lease_s),
            )
            for renewal in each.renewals.values()
            for exists, end_s in _lease_ends(each)
        )
    )


def _is_lease_current(state: Configurations, each: Incarnation) -> z3.BoolRef:
    return z3.And(
        *(
            z3.Implies(
                z3.And(exists, end_s > state.now_s), state.accepted <= each.applied
            )
            for exists, end_s in _lease_ends(each)
        )
    )
