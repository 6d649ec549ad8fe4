"""Fuzz tests of codecs: any input gives either a message or a typed error."""

from __future__ import annotations

import contextlib
import hmac
from pathlib import Path

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from currantstage.config import ConfigError, Settings, parse_settings
from currantstage.coordination.notes import check_note
from currantstage.coordination.requests import (
    Answer,
    Refusal,
    RefusalReason,
    Uncertain,
    identify_team,
)
from currantstage.protocol import (
    MAX_FRAME_BYTES,
    DecodeError,
    Heartbeat,
    NoteSyntaxError,
    OutcomeBody,
    PeerFrame,
    decode,
    decode_frame,
    decode_generation,
    decode_listing,
    decode_outcome,
    decode_rows,
    encode_frame,
    encode_generation,
    encode_note,
    parse_note,
    to_caller_answer,
)
from currantstage.standin import sample_note
from currantstage.state import (
    EntryVmId,
    Fleet,
    Generation,
    IncarnationId,
    Queue,
    QueueId,
    ReleaseNote,
    StoredGeneration,
)

settings.register_profile("codecs", derandomize=True, max_examples=200, deadline=None)
CODECS = settings.get_profile("codecs")
SECRET = b"secret"
FRAME = PeerFrame(
    sender=EntryVmId("a"),
    incarnation=IncarnationId("1"),
    receiver=EntryVmId("b"),
    message=Heartbeat(generation=Generation(3)),
)
INI_NOTE = sample_note(range(9001, 9007))
JSON_NOTE = encode_note(parse_note(INI_NOTE)).decode()
SETTINGS = Path("examples/entry-vm.ini").read_text(encoding="utf-8")
#: Edge cases that parsers of numbers and names often handle wrongly.
EDGE_CASE_VALUES = (
    "nan",
    "inf",
    "-1",
    "0",
    "9" * 40,
    "1e400",
    "",
    "%(x)s",
    "\x00",
    "\udc80",
)
ANY_TEXT = st.text(st.characters(codec=None, exclude_categories=()), max_size=200)
NESTING_DEPTH = 100_000


@st.composite
def corrupted(draw, text: str) -> str:
    """Return `text` with some of its characters removed, duplicated or replaced."""
    for _ in range(draw(st.integers(1, 3))):
        start = draw(st.integers(0, len(text)))
        end = draw(st.integers(start, min(len(text), start + 20)))
        replacement = draw(
            st.one_of(
                st.sampled_from(EDGE_CASE_VALUES),
                st.text(max_size=5),
                st.just(text[start:end] * 2),
            )
        )
        text = text[:start] + replacement + text[end:]
    return text


@st.composite
def with_edge_case_value(draw, text: str) -> str:
    """Return the INI `text` with the value of one line replaced by an edge case."""
    lines = text.splitlines()
    numbers = [number for number, line in enumerate(lines) if "=" in line]
    number = draw(st.sampled_from(numbers))
    name = lines[number].split("=")[0]
    lines[number] = f"{name}= {draw(st.sampled_from(EDGE_CASE_VALUES))}"
    return "\n".join(lines)


@CODECS
@given(
    st.one_of(
        ANY_TEXT,
        corrupted(INI_NOTE),
        corrupted(JSON_NOTE),
        with_edge_case_value(INI_NOTE),
    )
)
@example('{"note_id":' + "[" * NESTING_DEPTH)
@example("[note]\nid = n\n[DEFAULT]\nslots = 3\n")
@example("[note]\nid = n\n[add team t]\nshare = nan\nupper_limit_slots = 4\n")
def test_note_is_parsed_or_refused_with_its_faults(text):
    try:
        note = parse_note(text)
    except NoteSyntaxError as error:
        assert error.faults
        return
    assert parse_note(encode_note(note).decode()) == note
    match check_note(Fleet(), note):
        case Success(fleet):
            stored = StoredGeneration(note=note, fleet=fleet)
            assert decode_generation(encode_generation(stored)) == stored
        case Failure(faults):
            assert faults


def test_default_section_is_refused():
    with pytest.raises(NoteSyntaxError) as caught:
        parse_note("[DEFAULT]\nslots = 3\n[note]\nid = n\n")
    assert [fault.split(":")[0] for fault in caught.value.faults] == ["[DEFAULT]"]


@CODECS
@given(st.one_of(ANY_TEXT, corrupted(SETTINGS), with_edge_case_value(SETTINGS)))
@example("[DEFAULT]\nid = a\n" + SETTINGS)
def test_settings_are_parsed_or_refused_with_their_faults(text):
    try:
        assert isinstance(parse_settings(text), Settings)
    except ConfigError as error:
        assert error.faults


@CODECS
@given(st.binary(max_size=200))
def test_unauthenticated_frame_is_refused(data):
    with pytest.raises(DecodeError):
        decode_frame(data, SECRET)


@CODECS
@given(st.binary(max_size=200), st.integers(0, 200), st.binary(max_size=8))
@example(b"\x91" * NESTING_DEPTH, 0, b"")
def test_authenticated_frame_with_any_content_is_decoded_or_refused(
    random_bytes, position, insert
):
    body = encode_frame(FRAME, SECRET)[32:]
    position = min(position, len(body))
    for content in (random_bytes, body[:position] + insert + body[position + 1 :]):
        content = content[: MAX_FRAME_BYTES - 32]
        with contextlib.suppress(DecodeError):
            decoded = decode_frame(
                hmac.digest(SECRET, content, "sha256") + content, SECRET
            )
            assert isinstance(decoded, PeerFrame)


@pytest.mark.parametrize("excess_bytes", [-1, 0, 1])
def test_frame_size_is_limited(excess_bytes):
    base = len(encode_frame(FRAME, SECRET))
    # The length prefix of a long string takes 2 bytes more than that of the original
    # sender, a one-letter string.
    size = MAX_FRAME_BYTES + excess_bytes - base - 2
    frame = PeerFrame(
        sender=EntryVmId("x" * (size + 1)),
        incarnation=FRAME.incarnation,
        receiver=FRAME.receiver,
        message=FRAME.message,
    )
    data = encode_frame(frame, SECRET)
    assert len(data) == MAX_FRAME_BYTES + excess_bytes
    if excess_bytes > 0:
        with pytest.raises(DecodeError):
            decode_frame(data, SECRET)
    else:
        assert decode_frame(data, SECRET) == frame


STORED = StoredGeneration(note=parse_note(INI_NOTE), fleet=Fleet())
ROWS = (
    '{"rows":[{"key":"head","version":1,"body":"{\\"attempt\\":\\"1\\",\\"record\\":'
    '{\\"type\\":\\"head\\",\\"generation\\":1,\\"note_id\\":\\"n\\",'
    '\\"object_name\\":\\"o\\"}}"}]}'
)


@pytest.mark.parametrize(
    "decode_body", [decode_rows, decode_outcome, decode_generation, decode_listing]
)
@CODECS
@given(
    text=st.one_of(
        ANY_TEXT, corrupted(ROWS), corrupted(encode_generation(STORED).decode())
    ),
    random_bytes=st.binary(max_size=50),
)
@example(text="[" * NESTING_DEPTH, random_bytes=b"\xff")
def test_platform_responses_are_decoded_or_refused(decode_body, text, random_bytes):
    for body in (text.encode(errors="surrogatepass"), random_bytes):
        with contextlib.suppress(DecodeError):
            decode_body(body)


def test_valid_rows_are_decoded():
    assert decode_rows(ROWS.encode())[0].record.generation == 1


@CODECS
@given(st.one_of(st.none(), ANY_TEXT))
@example("north-1.\udcff")
def test_arbitrary_text_as_key_is_refused(presented):
    fleet = check_note(Fleet(), parse_note(INI_NOTE)).unwrap()
    queue = fleet.queues[QueueId("parcels")]
    assert identify_team(fleet, queue, presented) == Failure(
        Refusal(RefusalReason.KEY_REFUSED)
    )
    open_queue = Queue(queue_id=queue.queue_id, pools=(), access="open")
    assert identify_team(fleet, open_queue, presented) != Success("north")


@CODECS
@given(
    st.one_of(
        st.builds(
            Answer, st.integers(100, 599), st.text(max_size=20), st.binary(max_size=50)
        ),
        st.builds(
            Refusal,
            st.sampled_from(RefusalReason),
            st.one_of(st.none(), st.floats(0, 1e6)),
        ),
        st.builds(Uncertain, ANY_TEXT),
    )
)
def test_response_to_every_request_end_can_be_decoded(end):
    answer = to_caller_answer(end)
    assert 100 <= answer.status <= 599
    if not isinstance(end, Answer):
        assert decode(answer.body, OutcomeBody).outcome is answer.outcome


def test_note_in_python_syntax_is_refused():
    with pytest.raises(NoteSyntaxError):
        parse_note(f"{{{ReleaseNote.__name__!r}: 1}}")
