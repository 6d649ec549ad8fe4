"""Settings of a job daemon, from the template that the platform renders."""

from __future__ import annotations

from pathlib import Path

from tests.ports import free_addresses

TEMPLATE = Path(__file__).parents[2] / "deploy" / "settings.ini"
VALUES = {
    "Node": "entry-1",
    "Zone": "dc-1",
    "Ip:9464": "127.0.0.1:9464",
    "Listen.Control": "127.0.0.1:18191",
    "Listen.Front": "127.0.0.1:18192",
    "Listen.Readiness": "127.0.0.1:18193",
    "platform.Address": "127.0.0.1:1",
    "CloudApi.Address": "127.0.0.1:1",
    "Advice": "127.0.0.1:1",
    "Bounds.StopMs": "900",
    "Bounds.HoldMaxMs": "10000",
    "Bounds.ConfigApplyMs": "3000",
    "Limits.LinkMbps": "200.0",
    "Limits.CpuShare": "0.717",
    "Limits.Cores": "3",
    "Seeds": "127.0.0.1:18191,127.0.0.1:18199",
}
LISTENING = ("Ip:9464", "Listen.Control", "Listen.Front", "Listen.Readiness")


def render_template(
    addresses: dict[str, str] | None = None, *, has_advice: bool = True
) -> str:
    """Render the deploy template as the platform does, with other `addresses`."""
    text = TEMPLATE.read_text(encoding="utf-8")
    if not has_advice:
        before, _, rest = text.partition("{{#Advice}}")
        text = before + rest.partition("{{/Advice}}")[2]
    limits = ("Limits.LinkMbps", "Limits.CpuShare", "Limits.Cores")
    bounds = ("Bounds.StopMs", "Bounds.HoldMaxMs", "Bounds.ConfigApplyMs")
    for section in ("Seeds.0", "Advice", *bounds, *limits):
        text = text.replace("{{#" + section + "}}", "")
        text = text.replace("{{/" + section + "}}", "")
    text = text.replace("{{Ip}}:9464", "{{Ip:9464}}")
    for name, value in (VALUES | (addresses or {})).items():
        text = text.replace("{{" + name + "}}", value)
    assert "{{" not in text
    return text


def free_listen_addresses() -> dict[str, str]:
    """Return free addresses for all on which a daemon listens."""
    return dict(zip(LISTENING, free_addresses(len(LISTENING)), strict=True))
