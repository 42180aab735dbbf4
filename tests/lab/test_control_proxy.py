from random import Random, SystemRandom

from anyio import (
    connect_tcp,
    create_task_group,
    create_tcp_listener,
    create_udp_socket,
    fail_after,
    move_on_after,
    run,
)
from anyio.abc import SocketAttribute

from magnoliaslip.core.address import Address
from magnoliaslip.core.clock import SystemClock
from magnoliaslip.lab.control_proxy import ControlEndpoint, ControlProxy
from magnoliaslip.lab.fabric import FabricModel, PathRule
from magnoliaslip.lab.model_loop import run_timers
from magnoliaslip.lab.ports import PortPicker

PARTITION = {("a", "b"): PathRule(cut=True)}


def with_control_proxy(scenario):
    """Run ``scenario(fabric, sender, receiver)`` with two instances in two zones."""

    async def main():
        ports = PortPicker(SystemRandom())
        endpoints = [
            ControlEndpoint(
                f"i{n}",
                zone,
                front=str(ports.pick(f"127.0.2.{n}")),
                control=str(ports.pick(f"127.0.1.{n}")),
            )
            for n, zone in enumerate("ab", 1)
        ]
        clock = SystemClock()
        fabric = FabricModel(
            clock=clock, rng=Random(1), send=lambda *_: None, zone_delay_s=0.001
        )
        with fail_after(5):
            async with create_task_group() as tasks:
                tasks.start_soon(
                    ControlProxy(endpoints, fabric=fabric, clock=clock).run
                )
                tasks.start_soon(run_timers, fabric, clock)
                await scenario(fabric, *endpoints)
                tasks.cancel_scope.cancel()

    run(main)


async def connect(sender, receiver):
    proxy_address = Address.parse(receiver.front)
    local_host = Address.parse(sender.control).host
    while True:
        try:
            return await connect_tcp(
                proxy_address.host, proxy_address.port, local_host=local_host
            )
        except OSError:  # the proxy does not listen yet
            continue


def test_stream_waits_while_its_path_is_partitioned():
    """Guards against control messages that cross a partition or are lost by it."""

    async def scenario(fabric, sender, receiver):
        control = Address.parse(receiver.control)
        async with await create_tcp_listener(
            local_host=control.host, local_port=control.port
        ) as listener:
            accepted = []

            async def echo(stream):
                accepted.append(stream.extra(SocketAttribute.remote_address)[0])
                async for data in stream:
                    await stream.send(data)

            async with create_task_group() as tasks:
                tasks.start_soon(listener.serve, echo)
                async with await connect(sender, receiver) as stream:
                    await stream.send(b"before")
                    assert await stream.receive() == b"before"
                    fabric.set_rules(PARTITION)
                    await stream.send(b"during")
                    with move_on_after(0.1) as waited:
                        await stream.receive()
                    assert waited.cancelled_caught
                    fabric.set_rules({})
                    assert await stream.receive() == b"during"
                tasks.cancel_scope.cancel()
            assert accepted == [Address.parse(sender.front).host]

    with_control_proxy(scenario)


def test_relay_source_is_the_proxy_address_of_its_sender():
    """Guards against relays that the receiver can't attribute to their sender."""

    async def scenario(fabric, sender, receiver):
        control, proxy_address = map(Address.parse, (receiver.control, receiver.front))
        source = Address.parse(sender.control)
        async with (
            await create_udp_socket(
                local_host=control.host, local_port=control.port
            ) as receiver_socket,
            await create_udp_socket(
                local_host=source.host, local_port=source.port
            ) as sender_socket,
        ):
            (await (await connect(sender, receiver)).aclose())
            await sender_socket.sendto(b"relay", *proxy_address)
            packet, address = await receiver_socket.receive()
            assert packet == b"relay"
            assert address == Address.parse(sender.front)
            fabric.set_rules(PARTITION)
            await sender_socket.sendto(b"lost", *proxy_address)
            with move_on_after(0.1) as waited:
                await receiver_socket.receive()
            assert waited.cancelled_caught

    with_control_proxy(scenario)
