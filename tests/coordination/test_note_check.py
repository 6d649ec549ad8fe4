"""Validation of release notes reports every fault with its location."""

from __future__ import annotations

import pytest

from currantstage.coordination.notes import check_note, diff_fleets
from currantstage.protocol import parse_note
from currantstage.state import Fleet

BASE = """
[note]
id = base
[add pool p]
data_centre = a
[add vm v]
pool = p
rack = r
address = 127.0.0.1:9000
[add team north]
share = 1
upper_limit_slots = 8
[add queue q]
pools = p
"""
DIGEST = "0" * 64


def base_fleet():
    return check_note(Fleet(), parse_note(BASE)).unwrap()


@pytest.mark.parametrize(
    ("text", "location", "reason"),
    [
        ("[withdraw pool p]", "vm v, which the note leaves", "pool p does not exist"),
        ("[change pool p]\nmax_unavailable = 2", "change pool p", "the pool has 1 VMs"),
        ("[add key k]\nteam = x\nsalt = s\ndigest = 0", "add key k", "team x does not"),
        ("[add key k]\nteam = north\nsalt = s\ndigest = 0", "add key k", "SHA-256"),
        ("[change queue q]\npools = p, p", "change queue q", "named 2 times"),
        ("[add team a/b]\nshare = 1\nupper_limit_slots = 1", "add team a/b", "letters"),
        ("[change vm v]\naddress = host:1", "change vm v", "is not IP:port"),
        ("[change team south]\nshare = 2", "change team south", "does not exist"),
    ],
)
def test_fault_has_location(text, location, reason):
    checked = check_note(base_fleet(), parse_note(f"[note]\nid = n\n{text}\n"))
    faults = checked.failure()
    assert any(
        fault.location == location and reason in fault.reason for fault in faults
    ), faults


def test_rack_in_two_data_centres_is_refused():
    text = """
[note]
id = n
[add pool o]
data_centre = b
[add vm w]
pool = o
rack = r
address = 127.0.0.1:9001
"""
    faults = check_note(base_fleet(), parse_note(text)).failure()
    assert [str(fault.reason) for fault in faults] == ["rack r stands in data centre a"]


def test_key_is_replaced_under_new_identifier():
    fleet = base_fleet()
    key = f"team = north\nsalt = s\ndigest = {DIGEST}\n"
    fleet = check_note(
        fleet, parse_note(f"[note]\nid = n\n[add key k1]\n{key}")
    ).unwrap()
    same_id = f"[note]\nid = m\n[withdraw key k1]\n[add key k1]\n{key}"
    assert check_note(fleet, parse_note(same_id)).failure()
    new_id = f"[note]\nid = m\n[withdraw key k1]\n[add key k2]\n{key}"
    assert set(check_note(fleet, parse_note(new_id)).unwrap().keys) == {"k2"}


def test_diff_lists_changed_field():
    before = base_fleet()
    note = parse_note("[note]\nid = n\n[change team north]\nshare = 2\n")
    (change,) = diff_fleets(before, check_note(before, note).unwrap())
    assert str(change.item) == "change team north"
    assert (change.name, change.before, change.after) == ("share", "1.0", "2.0")
