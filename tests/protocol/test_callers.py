"""Tests of parsing callers' requests and their options."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from currantstage.coordination.requests import (
    JobSize,
    RefusalReason,
    Submission,
    identify_team,
)
from currantstage.protocol import (
    KEY_HEADER,
    MAX_RESOURCE_AMOUNT,
    CallerRequest,
    parse_caller_request,
)
from tests.request_fakes import QUEUE, make_fleet

OPTION_NAMES = ("idempotent", "urgent", "timeout-ms", "processors", "memory-mb")


def parse_with_options(**options):
    headers = {
        f"currantstage-{name.replace('_', '-')}": value
        for name, value in options.items()
    }
    return parse_caller_request(QUEUE, headers, b"")


def test_options_are_passed_to_admission():
    request = parse_with_options(
        idempotent="true", urgent="1", timeout_ms="1500", memory_mb="64"
    ).unwrap()
    assert request.to_submission() == Submission(
        queue=QUEUE,
        is_idempotent=True,
        is_urgent=True,
        timeout_s=1.5,
        size=JobSize(memory_mb=64),
    )


def test_requests_are_not_idempotent_by_default():
    assert not parse_with_options().unwrap().to_submission().is_idempotent


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("timeout_ms", "0"),
        ("timeout_ms", "9" * 30),
        ("processors", "nan"),
        ("processors", "inf"),
        ("processors", "-1"),
        ("memory_mb", str(MAX_RESOURCE_AMOUNT + 1)),
        ("idempotent", "maybe"),
        ("idempotent", ""),
    ],
)
def test_malformed_option_is_refused(name, value):
    result = parse_with_options(**{name: value})
    assert result.failure().reason is RefusalReason.MALFORMED


def test_content_type_that_no_header_can_have_is_refused_as_malformed():
    headers = {"content-type": "text/plain\x01"}
    result = parse_caller_request(QUEUE, headers, b"")
    assert result.failure().reason is RefusalReason.MALFORMED


def test_content_type_may_have_a_tab_between_its_parts():
    headers = {"content-type": "text/plain;\tcharset=utf-8"}
    request = parse_caller_request(QUEUE, headers, b"").unwrap()
    assert request.content_type == headers["content-type"]


@settings(derandomize=True, database=None, max_examples=300)
@given(
    headers=st.dictionaries(
        st.sampled_from(
            [KEY_HEADER, *(f"currantstage-{name}" for name in OPTION_NAMES)]
        ),
        st.text(st.characters(max_codepoint=0xE000), max_size=40),
    ),
    body=st.binary(max_size=64),
)
def test_arbitrary_headers_give_a_request_or_a_refusal(headers, body):
    result = parse_caller_request(QUEUE, headers, body)
    if isinstance(result, Failure):
        assert result.failure().reason is RefusalReason.MALFORMED
        return
    request = result.unwrap()
    assert isinstance(request, CallerRequest)
    assert request.body == body
    fleet = make_fleet()
    identified = identify_team(fleet, fleet.queues[QUEUE], request.presented_key)
    is_key_valid = request.presented_key == "north.secret"
    assert isinstance(identified, Success) == is_key_valid
