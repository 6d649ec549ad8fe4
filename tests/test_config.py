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
