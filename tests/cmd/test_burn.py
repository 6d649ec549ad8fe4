"""The burn report, from entry VMs to the page."""

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

NASTY = '<script>alert("1")</script>&'


def make_report(queue: str) -> BurnReport:
    windows = tuple(
        WindowBurn(window_s, 10, 1, rate)
        for window_s, rate in zip(WINDOWS_S, (None, 0.0, 14.4, 1e9), strict=True)
    )
    budget = BudgetBurn(
        QueueId(queue), TeamId(NASTY), Objective.LATENCY, 0.99, windows, Alert.PAGE
    )
    return BurnReport(
        generation=Generation(7),
        are_members_known=False,
        answered=(
            RespondingMember(entry_vm=EntryVmId("a-1"), covered_s=720.0, uncounted=3),
        ),
        silent=(MissingMember(address=NASTY, reason="silent"),),
        budgets=(budget,),
    )


class Tags(HTMLParser):
    def __init__(self) -> None:
        super().__init__()
        self.names: set[str] = set()
        self.attributes: set[str] = set()

    def handle_starttag(self, tag, attrs):
        self.names.add(tag)
        self.attributes.update(name for name, _ in attrs)


def test_the_page_escapes_every_name_and_loads_nothing():
    page = render_page(make_report(NASTY))
    tags = Tags()
    tags.feed(page)
    assert "svg" in tags.names
    assert not tags.names & {"script", "link", "img", "iframe"}
    assert not tags.attributes & {"src", "href", "srcset"}
    assert not re.search(r"url\(|@import|https?:", page)
    assert 'name="viewport"' in page


def test_the_table_is_honest_about_gaps():
    text = render_table(make_report("parcels"))
    assert "they have counted for 12 min to 12 min" in text
    assert "3 requests were not counted" in text
    assert f"NO ANSWER from {NASTY}" in text
    assert "the table could not be read" in text
    cells = text.splitlines()[-1].split("  ")
    assert [cell.strip() for cell in cells if cell.strip()][4:8] == [
        "-",
        "0.00",
        "14.4",
        "1000000000.0",
    ]


async def _start_note(cluster: LoopbackCluster) -> None:
    async with OperatorClient(cluster.urls[0], OPERATOR_KEY) as operator:
        report = await operator.submit_note(cluster.note)
        while report.state is NoteState.COMMITTED:
            report = await operator.note_status(NoteId("first-note"))


def test_all_entry_vms_are_found_through_one_and_a_dead_one_is_named():
    async def check():
        async with LoopbackCluster() as cluster, aiohttp.ClientSession() as caller:
            await _start_note(cluster)
            for backend in cluster.backends.values():
                backend.mode = BackendMode.FAILING
            headers = {KEY_HEADER: "north-1.north-secret"}
            for url in cluster.urls:
                for queue in ("parcels", "no-such-queue"):
                    await caller.post(
                        f"{url}/v1/queues/{queue}", data=b"x", headers=headers
                    )
            dead = "http://127.0.0.1:1"
            found = await gather_burn((dead, cluster.urls[0]), OPERATOR_KEY)
            assert {each.entry_vm for each in found.answered} == {
                each.entry_vm.id for each in cluster.settings
            }
            assert [each.address for each in found.silent] == [dead]
            assert found.are_members_known
            by_objective = {each.objective: each for each in found.budgets}
            burn = by_objective[Objective.AVAILABILITY]
            assert (burn.queue, burn.team) == ("parcels", "north")
            assert {(each.requests, each.bad) for each in burn.windows} == {(3, 3)}
            assert burn.alert is Alert.PAGE

    uvloop.run(check())


def test_without_any_answer_the_command_says_so():
    options = ("--server", "http://127.0.0.1:1", "--operator-key", "k")
    result = CliRunner().invoke(main, ["report", "burn", *options])
    assert result.exit_code == ExitStatus.UNAVAILABLE
    assert "http://127.0.0.1:1" in result.output


def test_the_command_prints_json_and_writes_the_page(tmp_path, monkeypatch):
    async def gather(servers, key):
        return make_report("parcels")

    monkeypatch.setattr("currantstage.cmd._report.gather_burn", gather)
    page = tmp_path / "burn.html"
    options = ("--operator-key", "k", "--json", "--html", str(page))
    result = CliRunner().invoke(main, ["report", "burn", *options])
    assert result.exit_code == ExitStatus.REFUSED
    assert decode(result.output.encode(), BurnReport) == make_report("parcels")
    assert page.read_text().startswith("<!doctype html>")
