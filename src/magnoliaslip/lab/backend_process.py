"""Process that runs one simulated backend server."""

from collections.abc import Sequence
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from random import Random

from anyio import create_task_group
from msgspec.json import decode

from magnoliaslip.config.snapshot import BackendServer
from magnoliaslip.core.address import Address
from magnoliaslip.core.clock import SystemClock
from magnoliaslip.core.http_server import HttpRequest, HttpResponse, serve_http
from magnoliaslip.dataplane.udp_socket import open_udp
from magnoliaslip.lab.backend import BackendServerModel
from magnoliaslip.lab.health import HealthMode
from magnoliaslip.lab.model_loop import make_sender, open_recorder, run_model


@dataclass(slots=True, frozen=True)
class BackendProcess:
    """Runs a `BackendServerModel` on a UDP socket.

    The health endpoint and the lab-only endpoints listen on the same port number
    over TCP.

    Attributes:
        server: Entry in the pool, with the address that the process listens on.
        service: Name of the service that it belongs to.
        addresses: Service addresses inside the tunnel.
        returns: Address of the fabric that receives packets to callers.
        seed: Seed of the random number generator.
        cold: Whether it starts cold.
        record_to: File of history records, or None.
    """

    server: BackendServer
    service: str
    addresses: Sequence[Address]
    returns: Address
    seed: int = 1
    cold: bool = False
    record_to: Path | None = None

    async def run(self) -> None:
        """Serve until cancelled."""
        clock, name = SystemClock(), self.server.name
        with (
            open_udp(self.server.address) as sock,
            open_recorder(self.record_to, who=name, clock=clock) as recorder,
        ):
            model = BackendServerModel(
                self.server,
                self.service,
                addresses=self.addresses,
                clock=clock,
                rng=Random(f"{self.seed}/{name}"),
                send=make_sender(sock, self.returns),
                recorder=recorder,
                cold=self.cold,
            )
            async with create_task_group() as tasks:
                handler = partial(_handle, model)
                await tasks.start(serve_http, self.server.address, handler)
                print(f"ready backend {name}", flush=True)
                await run_model(model, clock, sock, model.on_packet)


async def _handle(model: BackendServerModel, req: HttpRequest) -> HttpResponse:
    if req.method == "GET" and req.path == "/v1/health":
        return HttpResponse.json(model.health_report())
    if req.method == "GET" and req.path == "/lab/status":
        return HttpResponse.json(
            {
                "server": model.server.name,
                "service": model.service,
                "state": model.state,
                "connections": model.connections,
                "counters": model.counters,
            }
        )
    if req.method == "PUT" and req.path == "/lab/fault":
        _apply_fault(model, **decode(req.body))
        return HttpResponse.json({"state": model.state})
    return HttpResponse.json({"error": "no such path"}, status=404)


def _apply_fault(model: BackendServerModel, fault: str, mode: str = "") -> None:
    """Apply a fault by name.

    Raises:
        ValueError: The fault or its mode is unknown.
    """
    if fault == "cold":
        model.restart(cold=True)
    elif fault == "drain":
        model.drain()
    elif fault in ("silent", "audible"):
        model.unresponsive = fault == "silent"
    elif fault == "silent_flows":
        model.make_flows_unresponsive()
    elif fault == "health":
        model.health.mode = HealthMode(mode)
    else:
        raise ValueError(
            f"unknown fault {fault!r}; use cold, drain, silent, audible, "
            "silent_flows or health"
        )
