"""Process that runs one simulated caller."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from random import Random

from anyio import create_task_group

from magnoliaslip.core.address import Address
from magnoliaslip.core.clock import SystemClock
from magnoliaslip.core.http_server import HttpRequest, HttpResponse, serve_http
from magnoliaslip.dataplane.udp_socket import open_udp
from magnoliaslip.lab.caller import CallerModel
from magnoliaslip.lab.model_loop import make_sender, open_recorder, run_model
from magnoliaslip.lab.workload import WorkloadConfig


@dataclass(slots=True, frozen=True)
class CallerProcess:
    """Runs a `CallerModel` on a UDP socket.

    The lab-only endpoints listen on the same port number over TCP.

    Attributes:
        name: Name of the caller.
        host: IPv4 address of its flows.
        listen: Address of its socket.
        fabric: Address of the fabric that receives its packets.
        services: Service address by service name.
        workload: Workload of the caller.
        seed: Seed of the random number generator.
        record_to: File of history records, or None.
    """

    name: str
    host: str
    listen: Address
    fabric: Address
    services: Mapping[str, Address]
    workload: WorkloadConfig = field(default_factory=WorkloadConfig)
    seed: int = 1
    record_to: Path | None = None

    async def run(self) -> None:
        """Serve until cancelled; ``PUT /lab/start`` starts the workload."""
        clock = SystemClock()
        with (
            open_udp(self.listen) as sock,
            open_recorder(self.record_to, who=self.name, clock=clock) as recorder,
        ):
            model = CallerModel(
                self.name,
                self.host,
                self.services,
                clock=clock,
                rng=Random(f"{self.seed}/{self.name}"),
                send=make_sender(sock, self.fabric),
                recorder=recorder,
                cfg=self.workload,
            )
            async with create_task_group() as tasks:
                await tasks.start(serve_http, self.listen, partial(_handle, model))
                print(f"ready caller {self.name}", flush=True)
                await run_model(model, clock, sock, model.on_packet)


async def _handle(model: CallerModel, req: HttpRequest) -> HttpResponse:
    if req.method == "GET" and req.path == "/lab/status":
        return HttpResponse.json(_status(model))
    if req.method == "PUT" and req.path == "/lab/start":
        model.start()
        return HttpResponse.json({})
    if req.method == "PUT" and req.path == "/lab/stop":
        model.stop()
        return HttpResponse.json({})
    return HttpResponse.json({"error": "no such path"}, status=404)


def _status(model: CallerModel) -> dict[str, object]:
    return {
        "idle": model.is_idle,
        "counters": model.counters,
        "answered_by": [
            {"service": service, "server": server, "answers": answers}
            for (service, server), answers in sorted(model.answered_by.items())
        ],
        "latency": model.metrics.summary()["histograms"].get("answer", {}),
    }
