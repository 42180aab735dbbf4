"""Guards against a virtual loop that blocks, or differs between two runs."""

from asyncio import get_running_loop

import pytest
from anyio import Event, create_task_group, fail_after, run, sleep

from magnoliaslip.proof.virtual_loop import (
    ProcessClock,
    SimProcess,
    VirtualDeadlockError,
    VirtualEventLoop,
)


def run_virtual(function, *args):
    return run(
        function,
        *args,
        backend="asyncio",
        backend_options={"loop_factory": VirtualEventLoop},
    )


def test_timers_fire_in_order_at_their_exact_times():
    async def main():
        seen = []

        async def sleep_and_record(delay):
            await sleep(delay)
            seen.append((delay, get_running_loop().time()))

        async with create_task_group() as tasks:
            for delay in (0.3, 0.1, 86400.0, 0.2):
                tasks.start_soon(sleep_and_record, delay)
        return seen

    assert run_virtual(main) == [(d, d) for d in (0.1, 0.2, 0.3, 86400.0)]


def test_paused_process_runs_late_and_others_go_on():
    """Guards against a pause that stops the whole loop.

    Such a pause would hide all faults that occur when a process resumes late.
    """

    async def main():
        loop = get_running_loop()
        seen = []
        paused, other = SimProcess("paused"), SimProcess("other")

        async def tick(name, ticks):
            for _ in range(ticks):
                await sleep(1)
                seen.append((name, loop.time()))

        tasks = [
            loop.create_task(tick(p.name, 4), context=p.context)
            for p in (paused, other)
        ]
        await sleep(1.5)
        paused.pause()
        loop.call_later(0.25, seen.append, "arrival", context=paused.context)
        await sleep(1.75)
        assert paused.backlog == 2
        paused.resume()
        for task in tasks:
            await task
        return seen

    seen = run_virtual(main)
    late = [t for name, t in (s for s in seen if s != "arrival") if name == "paused"]
    assert late == [1, 3.25, 4.25, 5.25]
    assert [t for s, t in (s for s in seen if s != "arrival") if s == "other"] == [
        1,
        2,
        3,
        4,
    ]
    assert seen.index("arrival") < seen.index(("paused", 3.25))


def test_wait_without_a_timer_is_an_error_and_not_a_hang():
    async def main():
        await Event().wait()

    with pytest.raises(VirtualDeadlockError):
        run_virtual(main)


def test_deadline_of_anyio_uses_virtual_time():
    async def main():
        with fail_after(10):
            await sleep(20)

    with pytest.raises(TimeoutError):
        run_virtual(main)


def test_wall_clock_step_does_not_change_the_monotonic_clock():
    async def main():
        clock = ProcessClock()
        before = clock.wall()
        clock.step_wall_clock(-3600)
        return clock.wall() - before, clock.monotonic()

    assert run_virtual(main) == (-3600, 0)
