"""Tests of the burn report: collection, table, page and command."""

from __future__ import annotations

import re
from html.parser import HTMLParser

import aiohttp
import uvloop
from click.testing import CliRunner

from currantstage.cmd import ExitStatus, main
from currantstage.cmd._burn_gathering import gather_burn
from currantstage.cmd._burn_page import render_page
from currantstage.cmd._burn_table import render_table
from currantstage.coordination.requests import (
    WINDOWS_S,
    Alert,
    BudgetBurn,
    Objective,
    WindowBurn,
)
from currantstage.protocol import (
    KEY_HEADER,
    BurnReport,
    MissingMember,
    NoteState,
    RespondingMember,
    decode,
)
from currantstage.standin import OPERATOR_KEY, BackendMode, LoopbackCluster
from currantstage.state import EntryVmId, Generation, NoteId, QueueId, TeamId
from currantstage.transport import OperatorClient

UNSAFE_NAME = '<script>alert("1")</script>&'


def make_report(queue: str) -> BurnReport:
    windows = tuple(
        WindowBurn(window_s, 10, 1, rate)
        for window_s, rate in zip(WINDOWS_S, (None, 0.0, 14.4, 1e9), strict=True)
    )
    budget = BudgetBurn(
        QueueId(queue),
        TeamId(UNSAFE_NAME),
        Objective.LATENCY,
        0.99,
        windows,
        Alert.PAGE,
    )
    return BurnReport(
        generation=Generation(7),
        are_members_known=False,
        answered=(
            RespondingMember(entry_vm=EntryVmId("a-1"), covered_s=720.0, uncounted=3),
        ),
        silent=(MissingMember(address=UNSAFE_NAME, reason="silent"),),
        budgets=(budget,),
    )


class TagCollector(HTMLParser):
    def __init__(self) -> None:
        super().__init__()
        self.names: set[str] = set()
        self.attributes: set[str] = set()

    def handle_starttag(self, tag, attrs):
        self.names.add(tag)
        self.attributes.update(name for name, _ in attrs)


def test_page_escapes_names_and_loads_no_resources():
    page = render_page(make_report(UNSAFE_NAME))
    tags = TagCollector()
    tags.feed(page)
    assert "svg" in tags.names
    assert not tags.names & {"script", "link", "img", "iframe"}
    assert not tags.attributes & {"src", "href", "srcset"}
    assert not re.search(r"url\(|@import|https?:", page)
    assert 'name="viewport"' in page


def test_table_reports_gaps_in_coverage():
    text = render_table(make_report("parcels"))
    assert "they have counted for 12 min to 12 min" in text
    assert "3 requests were not counted" in text
    assert f"NO ANSWER from {UNSAFE_NAME}" in text
    assert "the table could not be read" in text
    cells = text.splitlines()[-1].split("  ")
    assert [cell.strip() for cell in cells if cell.strip()][4:8] == [
        "-",
        "0.00",
        "14.4",
        "1000000000.0",
    ]


async def _submit_note(cluster: LoopbackCluster) -> None:
    async with OperatorClient(cluster.urls[0], OPERATOR_KEY) as operator:
        report = await operator.submit_note(cluster.note)
        while report.state is NoteState.COMMITTED:
            report = await operator.note_status(NoteId("first-note"))


def test_all_entry_vms_are_queried_and_unreachable_ones_are_listed():
    async def check():
        async with LoopbackCluster() as cluster, aiohttp.ClientSession() as caller:
            await _submit_note(cluster)
            for backend in cluster.backends.values():
                backend.mode = BackendMode.FAILING
            headers = {KEY_HEADER: "north-1.north-secret"}
            for url in cluster.urls:
                for queue in ("parcels", "no-such-queue"):
                    await caller.post(
                        f"{url}/v1/queues/{queue}", data=b"x", headers=headers
                    )
            unreachable_url = "http://127.0.0.1:1"
            found = await gather_burn((unreachable_url, cluster.urls[0]), OPERATOR_KEY)
            assert {each.entry_vm for each in found.answered} == {
                each.entry_vm.id for each in cluster.settings
            }
            assert [each.address for each in found.silent] == [unreachable_url]
            assert found.are_members_known
            by_objective = {each.objective: each for each in found.budgets}
            burn = by_objective[Objective.AVAILABILITY]
            assert (burn.queue, burn.team) == ("parcels", "north")
            assert {(each.requests, each.bad) for each in burn.windows} == {(3, 3)}
            assert burn.alert is Alert.PAGE

    uvloop.run(check())


def test_command_fails_if_no_entry_vm_answers():
    options = ("--server", "http://127.0.0.1:1", "--operator-key", "k")
    result = CliRunner().invoke(main, ["report", "burn", *options])
    assert result.exit_code == ExitStatus.UNAVAILABLE
    assert "http://127.0.0.1:1" in result.output


def test_command_prints_json_and_writes_the_page(tmp_path, monkeypatch):
    async def gather(servers, key):
        return make_report("parcels")

    monkeypatch.setattr("currantstage.cmd._report.gather_burn", gather)
    page = tmp_path / "burn.html"
    options = ("--operator-key", "k", "--json", "--html", str(page))
    result = CliRunner().invoke(main, ["report", "burn", *options])
    assert result.exit_code == ExitStatus.REFUSED
    assert decode(result.output.encode(), BurnReport) == make_report("parcels")
    assert page.read_text().startswith("<!doctype html>")
