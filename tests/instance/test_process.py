"""Guards against packets that an instance loses at its end."""

from random import Random
from socket import AF_INET, SOCK_DGRAM
from socket import socket as Socket  # noqa: N812
from types import SimpleNamespace

import anyio

from magnoliaslip.config.settings import InstanceSettings
from magnoliaslip.core.address import Address
from magnoliaslip.core.group import InstanceEntry
from magnoliaslip.instance import process
from magnoliaslip.lab.ports import PortPicker


def test_packets_that_have_arrived_at_the_end_are_handled(monkeypatch):
    # Guards against SYNs that are lost with the socket at a planned stop.
    picker = PortPicker(Random(1))
    data, control = picker.pick(), picker.pick()
    handled, relayed, stops = [], [], []

    class StoppingNode:
        """Ends as soon as it runs, when packets have just arrived."""

        def __init__(self, *args, **options):
            self.path = SimpleNamespace(
                handle_batch=handled.extend, handle_relay=relayed.append
            )
            self.on_peer_message = self.request_stop = lambda *args: None

        def record_stopped(self):
            # Rule 9: an instance that has stopped sends nothing.
            assert len(handled) == 100 and relayed
            stops.append("stopped")

        async def run(self):
            with Socket(AF_INET, SOCK_DGRAM) as sender:
                sender.bind((control.host, 0))
                for number in range(100):
                    sender.sendto(bytes([number]), data)
                sender.sendto(b"relay", control)

    monkeypatch.setattr(process, "InstanceNode", StoppingNode)
    nowhere = Address(control.host, 1)
    member = InstanceEntry("i2", "a", nowhere, nowhere)
    cfg = InstanceSettings(
        "i1", "a", data, control, nowhere, (nowhere,), peers=(member,)
    )
    anyio.run(process.run_instance, cfg)
    assert handled == [bytes([number]) for number in range(100)]
    assert relayed == [b"relay"]
    assert stops == ["stopped"]
