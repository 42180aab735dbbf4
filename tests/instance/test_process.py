"""Guards against packets that an instance loses at its end."""

from logging import WARNING
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


def run_with_node(monkeypatch, node):
    """Run an instance whose node is replaced; returns its addresses."""
    monkeypatch.setattr(process, "InstanceNode", node)
    nowhere = Address("127.0.0.1", 1)
    member = InstanceEntry("i2", "a", nowhere, nowhere)
    cfg = InstanceSettings(
        "i1", "a", node.data, node.control, nowhere, (nowhere,), peers=(member,)
    )
    anyio.run(process.run_instance, cfg)


def test_unexpected_error_with_one_packet_does_not_end_the_instance(
    monkeypatch, caplog
):
    # Guards against a packet that ends the process, or costs those that follow it.
    caplog.set_level(WARNING, "magnoliaslip.instance.process")  # others may change it
    picker = PortPicker(Random(2))
    handled, relayed = [], []

    def handle(payload, done):
        if payload == b"bad":
            raise RuntimeError("a fault of the path")
        done.append(payload)

    class FaultyNode:
        data, control = picker.pick(), picker.pick()

        def __init__(self, *args, **options):
            self.path = SimpleNamespace(
                handle_batch=lambda batch: [handle(each, handled) for each in batch],
                handle_relay=lambda payload: handle(payload, relayed),
            )
            self.on_peer_message = self.request_stop = self.record_stopped = print

        async def run(self):
            with Socket(AF_INET, SOCK_DGRAM) as sender:
                sender.bind((self.control.host, 0))
                for payload in (b"1", b"bad", b"2", b"bad", b"3"):
                    sender.sendto(payload, self.data)
                    sender.sendto(payload, self.control)
                with anyio.move_on_after(3):
                    while len(handled) < 3 or len(relayed) < 3:
                        await anyio.sleep(0.01)

    run_with_node(monkeypatch, FaultyNode)
    assert handled == relayed == [b"1", b"2", b"3"]
    assert caplog.text.count("UNEXPECTED_ERROR") == 1
    assert "a fault of the path" in caplog.text


def test_packets_that_have_arrived_at_the_end_are_handled(monkeypatch):
    # Guards against SYNs that are lost with the socket at a planned stop.
    picker = PortPicker(Random(1))
    handled, relayed, stops = [], [], []

    class StoppingNode:
        """Ends as soon as it runs, when packets have just arrived."""

        data, control = picker.pick(), picker.pick()

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
                sender.bind((self.control.host, 0))
                for number in range(100):
                    sender.sendto(bytes([number]), self.data)
                sender.sendto(b"relay", self.control)

    run_with_node(monkeypatch, StoppingNode)
    assert handled == [bytes([number]) for number in range(100)]
    assert relayed == [b"relay"]
    assert stops == ["stopped"]
