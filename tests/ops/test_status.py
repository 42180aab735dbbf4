"""Guards against an unreachable instance that is not reported."""

from msgspec.json import decode

from magnoliaslip.core.errors import PeerError
from magnoliaslip.ops.admin_client import AdminClient
from magnoliaslip.ops.status import InstanceReply, format_replies


def test_unreachable_instance_is_shown_and_sets_the_exit_code(ops, monkeypatch):
    async def refuse(self):
        raise PeerError("refused", place="instance at 127.0.0.1:7101")

    monkeypatch.setattr(AdminClient, "status", refuse)
    code, output = ops("status", "127.0.0.1:7101", "--json")
    assert code == 3
    assert decode(output)[0]["error"].startswith("MS500: instance at 127.0.0.1:7101")
    assert "MS500" in format_replies([InstanceReply("x", error="MS500")])
