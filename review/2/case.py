"""An instance freezes for 3.9 s; flows that opened meanwhile are then misdirected."""

import asyncio
import sys
from pathlib import Path
from signal import SIGCONT, SIGSTOP
from time import monotonic

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins"))

from fleet import Client, Fleet, configuration, route, run_case

ORDERS = ("127.0.5.1", 8080)
FREEZE_S = 3.9
FLOWS = 60
PAUSE_S = 9.0
ZONES = {"maikuduk": 2, "yugo-vostok": 2, "prishakhtinsk": 2, "tsentr": 1}
BACKENDS = {"maikuduk": 2, "yugo-vostok": 2, "prishakhtinsk": 2, "tsentr": 1}


async def place_orders(client: Client, number: int, lost: list[str]) -> None:
    """Open a flow, send an order, and after a pause another one on the same flow.

    The client repeats an order only if the flow never opened: the kind is
    `non_idempotent`.
    """
    for attempt in range(3):
        flow = client.flow(ORDERS)
        if not await flow.open():
            continue
        first = f"order-{number}-{attempt}-first".encode()
        if await flow.request(first) is None:
            return
        await asyncio.sleep(PAUSE_S)
        second = f"order-{number}-{attempt}-second".encode()
        if await flow.request(second) is None:
            lost.append(second.decode())
            client.fleet.note(f"{second.decode()} is never answered")
        return


async def case(trouble: bool) -> int:
    """Run the case; returns the exit code."""
    config = configuration([route(*ORDERS, "kit-desk", "non_idempotent")])
    record = Path(__file__).with_name("record.txt")
    async with Fleet(ZONES, config, record) as fleet:
        for zone, count in BACKENDS.items():
            for _ in range(count):
                fleet.add_backend("kit-desk", zone)
        client = Client(fleet, 1, "maikuduk")
        await fleet.start()
        frozen = fleet.instances[0]
        lost: list[str] = []
        tasks = []
        if trouble:
            frozen.signal(SIGSTOP)
            fleet.note(f"{frozen.name} is frozen")
        begun = monotonic()
        for number in range(FLOWS):
            tasks.append(asyncio.create_task(place_orders(client, number, lost)))
            await asyncio.sleep(0.03)
        await asyncio.sleep(max(0.0, begun + FREEZE_S - monotonic()))
        if trouble:
            frozen.signal(SIGCONT)
            fleet.note(f"{frozen.name} goes on")
        await asyncio.gather(*tasks)
        for _, flow, text in fleet.foreign_resets():
            fleet.break_rule(f"FLOW: port {flow.port} got a reset of {text}")
        fleet.note(
            f"{FLOWS} flows, {len(lost)} orders never answered, "
            f"{len(fleet.broken)} open flows reset by others"
        )
        print(fleet.lines[-1])
        return 1 if fleet.broken else 0


run_case(case)
