"""Decoding of the platform's messages."""

from __future__ import annotations

import pytest

from currantstage.platform._decoding import (
    DecodingError,
    decode_configuration,
    decode_job,
    decode_wave,
    decode_worker,
)
from currantstage.state.jobs import Resources

CONFIGURATION = b"""{"Version":7,"Routes":[{"Name":"r-1","Host":"Pule25.example",
"PathPrefix":"/puxa400/","Kind":"non_idempotent","TimeoutMs":3000,
"TargetLatencyMs":600,"Priority":1,"Service":"huvo11a","MaxAttempts":3,"Stretch":1.6,
"Public":false,"Advice":{"DecideMs":5,"IntervalMs":2,"ValidMs":900}}],
"Services":[{"Name":"huvo11a","AdmissionCheck":true,"Spare":false,"MaxConns":64},
{"Name":"lohu93e","Spare":true}],"Limits":{"MaxBodyBytes":1000},
"Tenants":[{"Name":"cugo130","ApiKeys":["k1","k2"],"Weight":23,
"Cap":{"Cpu":369202,"MemMb":528063,"Gpu":0}}]}"""

ENTRY = b"""{"Service":"huvo11a","Address":"10.128.0.9:8080","Zone":"co-centro-a",
"Version":"v1","Slots":8,"State":"ready","ColdLeftMs":0,"born":1767994807123,
"Capacity":{"Cpu":16000,"MemMb":32768,"Gpu":0},"Labels":["a","r1-3"],"Seq":4}"""


def test_configuration_is_decoded_completely() -> None:
    configuration = decode_configuration(CONFIGURATION)
    queue = configuration.queues[0]
    assert (configuration.version, queue.queue, queue.pool) == (7, "r-1", "huvo11a")
    assert (queue.host, queue.slack_ms, queue.stretch) == ("pule25.example", 600, 1.6)
    assert queue.advice is not None
    assert queue.advice.per_worker_ms == 2
    assert configuration.pools[0].guards_capacity
    assert configuration.pools[1].is_spare
    team = configuration.team_of_key("k2")
    assert team is not None
    assert (team.share, team.upper_limit) == (23, Resources(369202, 528063, 0))
    assert configuration.max_body_bytes == 1000


def test_longest_prefix_selects_the_queue() -> None:
    text = CONFIGURATION.replace(
        b'"Routes":[',
        b'"Routes":[{"Name":"r-2","Host":"pule25.example","PathPrefix":"/puxa400/a/",'
        b'"Service":"huvo11a"},',
    )
    configuration = decode_configuration(text)
    longer = configuration.route("pule25.example", "/puxa400/a/1")
    shorter = configuration.route("pule25.example", "/puxa400/b")
    assert longer is not None
    assert shorter is not None
    assert (longer.queue, shorter.queue) == ("r-2", "r-1")
    assert configuration.route("other.example", "/puxa400/b") is None


def test_worker_entry_is_decoded() -> None:
    entry = decode_worker("i-7f3a", ENTRY)
    assert (entry.worker, entry.pool, entry.rack) == ("i-7f3a", "huvo11a", "r1-3")
    assert entry.capacity == Resources(16000, 32768, 0)
    assert entry.born_ms == 1767994807123
    assert not entry.is_draining


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"\xff\xfe",
        b"[]",
        ENTRY.replace(b'"ready"', b'"asleep"'),
        ENTRY.replace(b'["a","r1-3"]', b'"a"'),
        ENTRY.replace(b'"Cpu":16000', b'"Cpu":"many"'),
        ENTRY.replace(b'"Address":"10.128.0.9:8080",', b""),
    ],
)
def test_malformed_worker_entry_is_rejected(value: bytes) -> None:
    with pytest.raises(DecodingError):
        decode_worker("i-7f3a", value)


def test_wave_is_decoded() -> None:
    wave = decode_wave(b'{"Wave":3,"Machines":["m-1"],"CompleteByS":20,"Cap":2}')
    assert (wave.number, wave.vms, wave.max_down) == (3, ("m-1",), 2)


def test_job_is_decoded_with_every_option() -> None:
    body = decode_job(
        b'{"Spec":"x","RepeatCount":2,"StartAtMs":5,"PeriodMs":7,"Steps":[{"Count":4,'
        b'"Cpu":500,"MemMb":256,"EstRuntimeMs":900,"Affinity":"r1-3","Needs":"ssd",'
        b'"AntiAffinity":2,"Speculative":true,"LongRunning":true,"Image":"i",'
        b'"TargetMs":30,"Fills":true,"MayMiss":1,"Gang":true,"SameRack":true,'
        b'"Checkpointing":true},{"Count":1,"After":[0]}]}'
    )
    step = body.steps[0]
    assert body.schedule is not None
    assert (body.schedule.count, body.schedule.period_ms) == (2, 7)
    assert (step.needed_label, step.preferred_rack) == ("ssd", "r1-3")
    assert (step.max_per_worker, step.max_unavailable) == (2, 1)
    assert step.is_filler and step.is_gang and step.same_rack
    assert step.reserved_resources == Resources(0, 256, 0)
    assert body.steps[1].after == (0,)


@pytest.mark.parametrize(
    "body", [b"", b"{}", b'{"Spec":1}', b'{"Steps":[{"Count":"4"}]}']
)
def test_malformed_job_is_refused(body: bytes) -> None:
    with pytest.raises(DecodingError):
        decode_job(body)
