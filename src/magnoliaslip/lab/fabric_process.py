"""Process that runs the simulated router fabric and the control proxy."""

from collections.abc import Sequence
from contextlib import ExitStack
from functools import partial
from ipaddress import ip_address
from pathlib import Path
from random import Random
from socket import socket as Socket  # noqa: N812

from anyio import create_task_group
from msgspec import Struct, convert
from msgspec.json import decode

from magnoliaslip.core.address import Address
from magnoliaslip.core.clock import SystemClock
from magnoliaslip.core.group import InstanceEntry
from magnoliaslip.core.http_server import HttpRequest, HttpResponse, serve_http
from magnoliaslip.dataplane.udp_reader import read_batches, read_datagrams_with_source
from magnoliaslip.dataplane.udp_socket import open_udp
from magnoliaslip.lab.control_proxy import ControlEndpoint, ControlProxy
from magnoliaslip.lab.fabric import FabricModel, PathRule, ServerAttachment
from magnoliaslip.lab.model_loop import run_timers, send_to


class ServerEndpoint(Struct, frozen=True, forbid_unknown_fields=True):
    """Addresses of a backend server.

    Attributes:
        name: Name of the backend server.
        zone: Its availability zone.
        front: Address of the fabric to which instances send packets for it.
        tunnel: Address on which it receives packets.
    """

    name: str
    zone: str
    front: str
    tunnel: str


class CallerEndpoint(Struct, frozen=True, forbid_unknown_fields=True):
    """Addresses of a caller.

    Attributes:
        host: IPv4 address of its flows.
        address: UDP address on which it listens.
    """

    host: str
    address: str


class FabricSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the fabric.

    Attributes:
        callers: Address that receives the packets of callers.
        returns: Address that receives the answers of backend servers.
        egress: Address that receives the packets of instances for callers.
        admin: Address of the lab-only HTTP endpoints.
        zone_delay_s: One-way delay between two availability zones, in seconds.
        caller_delay_s: One-way delay between callers and zones, in seconds.
        servers: The backend servers.
        caller_lines: The callers.
        fronts: Control addresses of the instances, for the control proxy.
        seed: Seed of the random source.
    """

    callers: str
    returns: str
    egress: str
    admin: str
    zone_delay_s: float
    caller_delay_s: float
    servers: list[ServerEndpoint]
    caller_lines: list[CallerEndpoint]
    fronts: list[ControlEndpoint]
    seed: int = 1


class InstanceEndpoint(Struct, frozen=True, forbid_unknown_fields=True):
    """An instance, as the lab reports it to the fabric.

    Attributes:
        id: Identifier of the instance.
        zone: Its availability zone.
        data: Address that receives tunnelled packets.
        leaving: Whether it receives no packets but may still send some.
    """

    id: str
    zone: str
    data: str
    leaving: bool = False


class PathRuleEntry(Struct, frozen=True, forbid_unknown_fields=True):
    """Impairment of the path from place ``src`` to place ``dst``."""

    src: str
    dst: str
    rule: PathRule


class FabricProcess:
    """Runs a `FabricModel` and a `ControlProxy` on sockets.

    Args:
        settings: Addresses of the fabric and of all that is attached to it.
    """

    def __init__(self, settings: FabricSettings) -> None:
        self._settings = settings
        self._clock = SystemClock()

    @classmethod
    def load(cls, path: Path) -> "FabricProcess":
        """Create the fabric from a settings file in JSON."""
        return cls(decode(path.read_bytes(), type=FabricSettings))

    async def run(self) -> None:
        """Serve until cancelled."""
        settings = self._settings
        with ExitStack() as stack:
            open_socket = partial(self._open, stack)
            callers = open_socket(settings.callers)
            returns = open_socket(settings.returns)
            egress = open_socket(settings.egress)
            model = FabricModel(
                clock=self._clock,
                rng=Random(settings.seed),
                send=partial(_send, egress),
                zone_delay_s=settings.zone_delay_s,
                caller_delay_s=settings.caller_delay_s,
            )
            for caller in settings.caller_lines:
                host = ip_address(caller.host).packed
                model.add_caller(host, Address.parse(caller.address))
            async with create_task_group() as tasks:
                for server in settings.servers:
                    tunnel = Address.parse(server.tunnel)
                    model.add_server(server.name, ServerAttachment(server.zone, tunnel))
                    handle = partial(model.to_server, server.name)
                    tasks.start_soon(
                        read_datagrams_with_source, open_socket(server.front), handle
                    )
                handle_batch = partial(_forward_batch, model)
                tasks.start_soon(read_batches, callers, handle_batch)
                tasks.start_soon(read_datagrams_with_source, returns, model.from_server)
                tasks.start_soon(read_datagrams_with_source, egress, model.to_caller)
                tasks.start_soon(run_timers, model, self._clock)
                control_proxy = ControlProxy(
                    settings.fronts, fabric=model, clock=self._clock
                )
                tasks.start_soon(control_proxy.run)
                admin = Address.parse(settings.admin)
                await tasks.start(serve_http, admin, partial(_handle, model))
                print("ready fabric", flush=True)

    @staticmethod
    def _open(stack: ExitStack, address: str) -> Socket:
        return stack.enter_context(open_udp(Address.parse(address)))


def _forward_batch(model: FabricModel, batch: Sequence[bytes]) -> None:
    for packet in batch:
        model.from_caller(packet)


def _send(sock: Socket, packet: bytes, address: Address) -> None:
    send_to(sock, packet, address)


async def _handle(model: FabricModel, req: HttpRequest) -> HttpResponse:
    if req.path == "/lab/counters":
        return HttpResponse.json(model.counters)
    if req.method == "PUT" and req.path == "/lab/instances":
        model.set_instances(
            [
                InstanceEntry(
                    id=entry.id,
                    zone=entry.zone,
                    data=Address.parse(entry.data),
                    control=Address.parse(entry.data),  # required but unused here
                    leaving=entry.leaving,
                )
                for entry in convert(decode(req.body), list[InstanceEndpoint])
            ]
        )
        return HttpResponse.json({})
    if req.method == "PUT" and req.path == "/lab/rules":
        rules = convert(decode(req.body), list[PathRuleEntry])
        model.set_rules({(entry.src, entry.dst): entry.rule for entry in rules})
        return HttpResponse.json({})
    return HttpResponse.json({"error": "no such path"}, status=404)
