"""Validation of settings files."""

from __future__ import annotations

from pathlib import Path

import pytest

from currantstage.config import ConfigError, load_settings, parse_settings

FAULTY = """
[entry-vm]
id = a
data_centre = x
http_address = localhost:80
peer_address = 127.0.0.1:99999
[platform]
url = http://127.0.0.1:9000
timeout_ms = 1 s
[peers]
[operators]
key = k
[configuration]
poll_s = 1
[serving]
max_drain_ms = -5
[extra]
"""
JOB_DAEMON = """
[entry-vm]
id = a
data_centre = x
http_address = 127.0.0.1:9464
peer_address = 127.0.0.1:9465
[callers]
front_address = 127.0.0.1:9466
readiness_address = 127.0.0.1:9467
[store]
address = 127.0.0.1:9468
[vms]
address = 127.0.0.1:9469
"""


def test_the_example_is_read():
    settings = load_settings(Path("examples/entry-vm.ini"))
    assert settings.entry_vm.id == "a-entry-1"
    assert settings.serving.max_drain_ms == 60_000


def test_all_faults_are_reported_with_section_and_key():
    with pytest.raises(ConfigError) as caught:
        parse_settings(FAULTY)
    assert [fault.split(":")[0] for fault in caught.value.faults] == [
        "[extra]",
        "[entry-vm] http_address",
        "[entry-vm] peer_address",
        "[platform] timeout_ms",
        "[peers] secret",
        "[configuration] poll_s",
        "[serving] max_drain_ms",
    ]


def test_a_missing_file_is_a_fault():
    with pytest.raises(ConfigError):
        load_settings(Path("no-such-file.ini"))


def test_resources_that_the_release_note_daemon_ignores_are_faults():
    text = Path("examples/entry-vm.ini").read_text(encoding="utf-8")
    resources = "[entry-vm]\nlink_mbps = 10\ncpu_share = 0.5\ncpu_speed = 1"
    with pytest.raises(ConfigError) as caught:
        parse_settings(text.replace("[entry-vm]", resources, 1))
    assert [fault.split(":")[0] for fault in caught.value.faults] == [
        "[entry-vm] link_mbps",
        "[entry-vm] cpu_share",
        "[entry-vm] cpu_speed",
    ]


def test_sections_that_a_job_daemon_does_not_need_may_be_left_out():
    """A daemon did not start without a service of advice."""
    settings = parse_settings(JOB_DAEMON)
    assert settings.advice is None
    assert settings.serving.max_drain_ms == 60_000


def test_section_of_a_job_daemon_without_its_address_is_a_fault():
    with pytest.raises(ConfigError) as caught:
        parse_settings(JOB_DAEMON + "[advice]")
    assert caught.value.faults == ("[advice] address: a value is missing",)
