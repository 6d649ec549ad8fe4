"""Release notes as text."""

from __future__ import annotations

import pytest

from currantstage.protocol import (
    MAX_NOTE_BYTES,
    NoteSyntaxError,
    encode_note,
    parse_note,
)
from currantstage.standin import sample_note

FAULTY = """
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


def test_the_sample_note_survives_encoding():
    note = parse_note(sample_note(range(9001, 9007)))
    assert len(note.added.vms) == 6
    assert note.added.queues[0].pools == ("parcels-a", "parcels-b", "parcels-c")
    assert parse_note(encode_note(note).decode()) == note


def test_every_fault_is_listed_with_its_place():
    with pytest.raises(NoteSyntaxError) as caught:
        parse_note(FAULTY)
    places = [fault.split(":")[0] for fault in caught.value.faults]
    assert places == [
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
def test_text_that_is_no_note_is_refused(text):
    with pytest.raises(NoteSyntaxError):
        parse_note(text)


def test_a_note_at_the_bound_is_read_and_past_it_refused():
    text = "[note]\nid = n\n#"
    assert parse_note(text + "x" * (MAX_NOTE_BYTES - len(text))).note_id == "n"
    with pytest.raises(NoteSyntaxError):
        parse_note(text + "x" * (MAX_NOTE_BYTES - len(text) + 1))
