"""Guards against open flows that are reset because an instance was frozen."""

from functools import partial
from itertools import count
from signal import SIGCONT, SIGSTOP

import anyio

from tests.soak.endpoints import CallerFlow
from tests.soak.promises import CONTACT_S
from tests.soak.site import ROUTES, Site

SEED = 1
ROUTE = next(route for route, service in ROUTES.items() if service == "lab")
FLOWS = 70
FLOW_INTERVAL_S = 0.03
FREEZE_S = 3.0
TIME_LIMIT_S = 60.0


async def request_twice(caller, port, again, results):
    """Open a flow, send a request, and another one on the same flow when told."""
    flow = caller.flows[port] = CallerFlow(caller, port, ROUTE)
    if await flow.open() and await flow.request(b"post-%d-first" % port):
        await again.wait()
        results[port] = await flow.request(b"post-%d-second" % port)


async def open_flows_while_an_instance_is_frozen(folder):
    results, again = {}, anyio.Event()
    with anyio.fail_after(TIME_LIMIT_S):
        async with Site(folder, SEED) as site:
            instance = next(iter(site.instances.values()))
            caller = next(c for c in site.callers.values() if c.zone == instance.zone)
            await anyio.sleep(CONTACT_S)
            ports = count(20_000)
            async with anyio.create_task_group() as tasks:
                instance.paused = True
                site.signal(instance, SIGSTOP)
                for _ in range(FLOWS):
                    args = caller, next(ports), again, results
                    tasks.start_soon(request_twice, *args)
                    await anyio.sleep(FLOW_INTERVAL_S)
                await anyio.sleep(FREEZE_S - FLOWS * FLOW_INTERVAL_S)
                site.signal(instance, SIGCONT)
                instance.paused = False
                site.disturb(instance)
                # The routers send part of the flows through it again.
                await anyio.sleep(CONTACT_S + 0.5)
                again.set()
    return results, site.promises


def test_flows_that_open_while_an_instance_is_frozen_keep_their_server(tmp_path):
    scenario = partial(open_flows_while_an_instance_is_frozen, tmp_path)
    results, promises = anyio.run(scenario)
    assert promises.violations == []
    assert len(results) > FLOWS / 2
    assert all(results.values())
