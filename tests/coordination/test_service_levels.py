"""Tests of request classification, counts by window, burn rates and alerts."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from currantstage.coordination.requests import (
    BUCKETS_PER_WINDOW,
    MAX_SERIES,
    NO_TEAM,
    WINDOWS_S,
    Alert,
    Answer,
    Objective,
    Refusal,
    RefusalReason,
    SeriesCount,
    ServiceLevelRecorder,
    ServiceLevelResult,
    Uncertain,
    WindowCount,
    classify_request,
    compute_budget_burns,
    merge_counts,
)
from currantstage.state import PoolId, Queue, QueueId, TeamId

QUEUE = Queue(queue_id=QueueId("q"), pools=(PoolId("p"),), latency_bound_ms=500)
TEAM = TeamId("north")
GOOD = Answer(200, "text/plain", b"")
BAD = Uncertain("lost")


@pytest.mark.parametrize(
    ("end", "duration_s", "result"),
    [
        (GOOD, 0.5, ServiceLevelResult.GOOD),
        (GOOD, 0.6, ServiceLevelResult.SLOW),
        (Answer(404, "text/plain", b""), 0.1, ServiceLevelResult.GOOD),
        (Answer(500, "text/plain", b""), 0.1, ServiceLevelResult.FAILED),
        (BAD, 0.1, ServiceLevelResult.FAILED),
        (Refusal(RefusalReason.NO_CAPACITY), 0.1, ServiceLevelResult.FAILED),
        (Refusal(RefusalReason.STOPPING), 0.1, ServiceLevelResult.FAILED),
        (Refusal(RefusalReason.TEAM_AT_LIMIT), 0.1, ServiceLevelResult.EXCLUDED),
        (Refusal(RefusalReason.KEY_REFUSED), 0.1, ServiceLevelResult.EXCLUDED),
        (Refusal(RefusalReason.QUEUE_FULL), 0.1, ServiceLevelResult.FAILED),
        (Refusal(RefusalReason.CONFIG_LEASE_EXPIRED), 0.1, ServiceLevelResult.FAILED),
        (Refusal(RefusalReason.JOB_TOO_LARGE), 0.1, ServiceLevelResult.EXCLUDED),
    ],
)
def test_only_failures_of_the_service_count_against_it(end, duration_s, result):
    assert classify_request(end, duration_s, QUEUE) is result


def count_all(recorder, now_s):
    return {(queue, team): windows for queue, team, windows in recorder.counts(now_s)}


@settings(derandomize=True, max_examples=60, deadline=None)
@given(
    st.lists(st.tuples(st.floats(0, 40_000), st.sampled_from([GOOD, BAD])), max_size=40)
)
def test_windows_count_what_is_younger_and_forget_what_is_older(steps):
    recorder = ServiceLevelRecorder(0.0)
    now_s, seen = 0.0, []
    for pause_s, end in steps:
        now_s += pause_s
        recorder.add(QUEUE, TEAM, end, 0.1, now_s)
        seen.append((now_s, end is BAD))
        for count in count_all(recorder, now_s)["q", TEAM]:
            # The oldest bucket expires as a whole.
            bucket_s = count.window_s / BUCKETS_PER_WINDOW
            start_s = (int(now_s / bucket_s) - BUCKETS_PER_WINDOW + 1) * bucket_s
            inside = [is_bad for at_s, is_bad in seen if at_s >= start_s]
            assert (count.total, count.failed) == (len(inside), sum(inside))


def test_requests_beyond_max_series_only_add_to_uncounted():
    recorder = ServiceLevelRecorder(0.0)
    for number in range(MAX_SERIES + 2):
        recorder.add(QUEUE, TeamId(f"t{number}"), GOOD, 0.1, 1.0)
    assert len(count_all(recorder, 1.0)) == MAX_SERIES
    assert recorder.uncounted == 2


def make_series(team, *counts):
    windows = tuple(
        WindowCount(window_s, *count)
        for window_s, count in zip(WINDOWS_S, counts, strict=True)
    )
    return SeriesCount(QUEUE.queue_id, team, windows)


def test_counts_of_several_entry_vms_are_summed():
    one = make_series(TEAM, (10, 1, 2), (20, 1, 2), (30, 1, 2), (40, 1, 2))
    merged = merge_counts([one, one, make_series(NO_TEAM, *[(5, 0, 0)] * 4)])
    assert [each.team for each in merged] == [NO_TEAM, TEAM]
    assert merged[1].windows[0] == WindowCount(WINDOWS_S[0], 20, 2, 4)


def find_burn(series, objective):
    burns = compute_budget_burns([series], {QUEUE.queue_id: QUEUE})
    return next(each for each in burns if each.objective is objective)


def test_burn_rate_of_one_uses_up_the_budget():
    series = make_series(TEAM, *[(1000, 1, 0)] * 4)
    burn = find_burn(series, Objective.AVAILABILITY)
    assert [each.burn_rate for each in burn.windows] == pytest.approx([1.0] * 4)
    assert burn.remaining_budget == pytest.approx(0.0)


def test_latency_burn_rate_excludes_failed_requests():
    series = make_series(TEAM, *[(100, 50, 5)] * 4)
    burn = find_burn(series, Objective.LATENCY)
    assert burn.windows[0].requests == 50
    assert burn.windows[0].burn_rate == pytest.approx(10.0)


@pytest.mark.parametrize(
    ("bad_fractions", "alert"),
    [
        ((0.02, 0.02, 0.0, 0.0), Alert.PAGE),
        # The burn has ended: the short window has no failures.
        ((0.0, 0.02, 0.0, 0.0), Alert.NONE),
        # The burn has just begun: the long window is below its threshold.
        ((0.02, 0.001, 0.0, 0.0), Alert.NONE),
        ((0.0, 0.007, 0.007, 0.0), Alert.PAGE),
        ((0.0, 0.0, 0.002, 0.002), Alert.TICKET),
        ((0.0, 0.0, 0.0, 0.002), Alert.NONE),
    ],
)
def test_alert_requires_the_long_and_the_short_window(bad_fractions, alert):
    counts = [(100_000, round(fraction * 100_000), 0) for fraction in bad_fractions]
    burn = find_burn(make_series(TEAM, *counts), Objective.AVAILABILITY)
    assert burn.alert is alert


def test_no_burn_rate_without_requests():
    burn = find_burn(make_series(TEAM, *[(0, 0, 0)] * 4), Objective.AVAILABILITY)
    assert burn.windows[0].burn_rate is None
    assert burn.remaining_budget is None
    assert burn.alert is Alert.NONE


def test_withdrawn_queue_has_no_objectives():
    assert compute_budget_burns([make_series(TEAM, *[(9, 9, 0)] * 4)], {}) == []
