"""Guards against missing state in the output, and against wrong exit codes."""

from json import dumps

from msgspec.json import decode

from magnoliaslip.core.errors import PeerError
from magnoliaslip.ops.steering import format_explanation, format_status
from magnoliaslip.ops.steering_client import SteeringClient
from magnoliaslip.runtime.status import (
    FlowExplanation,
    SteeringPeerStatus,
    SteeringServerStatus,
    SteeringStatus,
)

SETTINGS = {"id": "i1", "zone": "a", "control": "127.0.0.1:1", "store": "127.0.0.1:2"}
SUSPECT = SteeringServerStatus(
    id="i-5c",
    service="desk",
    zone="b",
    state="suspect",
    since=1781829614.25,
    suspected_by="own",
)
STATUS = SteeringStatus(
    id="i1",
    zone="a",
    ready=True,
    era=2,
    revision=7,
    changed_at=1781829600.0,
    routes_version=3,
    zones_out=["b"],
    store_answers=False,
    store_since=1781829610.0,
    watches_store=True,
    flows=2,
    instances=[SteeringPeerStatus(host="10.0.0.2", zone="b", live=False, heard_at=0.0)],
    servers=[SUSPECT],
)


def test_valid_settings_are_reported(ops, tmp_path):
    path = tmp_path / "i1.jsonc"
    path.write_text(dumps(SETTINGS))
    code, output = ops("steering", "check", path)
    assert code == 0 and "instance i1 in zone a" in output


def test_invalid_settings_are_reported_with_place_and_remedy(ops, tmp_path):
    path = tmp_path / "i1.jsonc"
    path.write_text(dumps(SETTINGS | {"zonee": "a"}))
    code, output = ops("steering", "check", path)
    assert code == 1
    assert str(path) in output and "Remedy" in output


def test_status_shows_since_when_store_and_server_have_their_state():
    text = format_status(STATUS)
    assert "does not answer since 2026-06-19T00:40:10.000Z" in text
    assert "suspect (own)" in text and "2026-06-19T00:40:14.250Z" in text
    assert "not live" in text


def test_explanation_lists_all_steps():
    answer = FlowExplanation(
        id="i1",
        era=2,
        revision=7,
        routes_version=3,
        steps=["a", "b"],
        servers=[SUSPECT],
    )
    text = format_explanation(answer)
    assert "1. a" in text and "2. b" in text and "i-5c" in text


def test_unreachable_instance_is_shown_and_sets_the_exit_code(ops, monkeypatch):
    async def refuse(self):
        raise PeerError("refused", place="instance at 127.0.0.1:1")

    monkeypatch.setattr(SteeringClient, "status", refuse)
    code, output = ops("steering", "status", "127.0.0.1:1")
    assert code == 3 and "refused" in output


def test_status_as_json(ops, monkeypatch):
    async def answer(self):
        return STATUS

    monkeypatch.setattr(SteeringClient, "status", answer)
    code, output = ops("steering", "status", "127.0.0.1:1", "--json")
    assert code == 0
    assert decode(output)[0]["servers"][0]["suspected_by"] == "own"
