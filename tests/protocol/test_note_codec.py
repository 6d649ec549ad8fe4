"""Tests of parsing and encoding release notes."""

from __future__ import annotations

import pytest

from currantstage.protocol import (
    MAX_NOTE_BYTES,
    NoteSyntaxError,
    encode_note,
    parse_note,
)
from currantstage.standin import sample_note

INVALID_NOTE = """
[note]
colour = red
[add team north]
share = much
upper_limit = 4
[change key k]
team = south
[remove vm v]
[withdraw pool p]
why = old
"""


def test_sample_note_round_trips():
    note = parse_note(sample_note(range(9001, 9007)))
    assert len(note.added.vms) == 6
    assert note.added.queues[0].pools == ("parcels-a", "parcels-b", "parcels-c")
    assert parse_note(encode_note(note).decode()) == note


def test_every_fault_is_reported_with_its_location():
    with pytest.raises(NoteSyntaxError) as caught:
        parse_note(INVALID_NOTE)
    locations = [fault.split(":")[0] for fault in caught.value.faults]
    assert locations == [
        "[note] id",
        "[note] colour",
        "[add team north] share",
        "[add team north] upper_limit",
        "[add team north] upper_limit_slots",
        "[change key k]",
        "[remove vm v]",
        "[withdraw pool p] why",
    ]


@pytest.mark.parametrize("text", ["{", '{"note_id": "n", "extra": 1}', "", "id = 3"])
def test_invalid_text_is_refused(text):
    with pytest.raises(NoteSyntaxError):
        parse_note(text)


def test_note_size_is_limited():
    text = "[note]\nid = n\n#"
    assert parse_note(text + "x" * (MAX_NOTE_BYTES - len(text))).note_id == "n"
    with pytest.raises(NoteSyntaxError):
        parse_note(text + "x" * (MAX_NOTE_BYTES - len(text) + 1))
