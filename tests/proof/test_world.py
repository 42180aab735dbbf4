"""Guards against a simulated deployment that behaves unlike a real one."""

import os
import subprocess
import sys
from collections import Counter
from dataclasses import replace

import pytest

from magnoliaslip.lab.workload import WorkloadConfig
from magnoliaslip.proof.checker import Checker
from magnoliaslip.proof.experiments import PROCESSING_TIME_FACTOR
from magnoliaslip.proof.faults import FAULTS
from magnoliaslip.proof.mutations import MUTATIONS
from magnoliaslip.proof.steps import STEPS, ZoneOut
from magnoliaslip.proof.world import DEFAULT_WORKLOAD, World, WorldConfig, run_world

DIGEST_SCRIPT = """
from magnoliaslip.proof.matrix import Cell, cell_history
print(cell_history(Cell("sicily", "instance-start", ("loss-delay",)), 7)[1].digest())
"""


@pytest.mark.parametrize("deployment", ["karaganda", "sicily"])
def test_deployment_without_faults_answers_and_keeps_every_rule(deployment):
    cfg = WorldConfig(deployment=deployment, length_s=12.0)
    world, history = run_world(cfg)
    phases = Counter(record["phase"] for record in history.of("call"))
    assert phases["answered"] > 60
    assert not phases["reset"] + phases["timeout"] + phases["refused"]
    assert len(world.instances) == 7
    assert all(sent > 0 for sent in world.control_bytes.values())
    assert Checker().check(history).failed == ()


def test_history_does_not_depend_on_the_process_or_the_hash_seed():
    """Guards against behaviour that depends on the order of a set of strings."""
    digests = set()
    for hash_seed in ("1", "2"):
        env = {**os.environ, "PYTHONHASHSEED": hash_seed}
        run = subprocess.run(
            [sys.executable, "-c", DIGEST_SCRIPT],
            env={**env, "PYTHONPATH": os.pathsep.join(sys.path)},
            capture_output=True,
            check=True,
        )
        digests.add(run.stdout)
    assert len(digests) == 1


def test_killed_instance_has_no_further_effect():
    """Guards against a killed process that still sends packets or adds records.

    It would hide the effects of the crash.
    """

    def kill(world: World):
        world.loop.call_later(6.0, world.kill_instance, "i3")

    world, history = run_world(WorldConfig(length_s=10.0), kill)
    assert not [r for r in history.records if r.who == "i3" and r.t > 6.0]
    assert world.instances["i3"].process.ended
    assert [r for r in history.of("forward") if r.who == "i4" and r.t > 8.0]


def test_faults_and_steps_take_effect_and_are_recorded():
    """Guards against a fault or step that has no effect and raises no error."""

    def inject(world: World):
        for name, fault in FAULTS.items():
            if name not in ("kill", "pause"):
                injected = fault(world, world.rng(name))
                world.loop.call_later(4.0, injected.begin)
        world.loop.call_later(4.5, check, world)
        for name in ("route-change", "server-drain", "zone-out"):
            world.loop.call_later(3.0, STEPS[name](world, world.rng(name)).run)

    def check(world: World):
        assert world.platform.down and world.platform.stale
        assert world.instances_without_updates() == sorted(world.instances)
        assert any(s.model.counters["restarts"] for s in world.servers.values())

    cfg = WorldConfig(
        length_s=5.0, workload=replace(DEFAULT_WORKLOAD, sessions_per_s=1.0)
    )
    _, history = run_world(cfg, inject)
    begun = {r["fault"] for r in history.of("fault") if r["phase"] == "begin"}
    assert begun == FAULTS.keys() - {"kill", "pause"}
    last = history.of("publish")[-1]
    assert last["version"] == 4 and last["zones_out"] and last["draining"]


def test_mutations_make_exactly_their_rule_fail_on_a_real_history():
    """Guards against rules that read fields which real records do not have."""

    def plan(world: World):
        rng = world.rng("steps")
        steps = {"server-start": 5.0, "instance-stop": 6.0, "server-drain": 7.0}
        for name, t in {**steps, "zone-out": 8.0}.items():
            world.loop.call_later(t, STEPS[name](world, rng).run)

    cfg = STEPS["server-start"].prepare(WorldConfig(length_s=26.0, seed=5))
    _, history = run_world(cfg, plan)
    assert Checker().check(history).failed == ()
    for mutation in MUTATIONS:
        verdict = Checker().check(mutation.apply(history, 3))
        assert verdict.failed == (mutation.rule,)


def test_zone_taken_out_does_not_make_other_servers_refuse():
    """Guards against resets that are counted as server restarts.

    Flows abandoned with their zone reach other servers, which have no entry for them
    and answer with a reset. When these resets counted as restarts, all servers
    accepted only few new flows.
    """
    workload = WorkloadConfig(
        sessions_per_s=12.0, think_s=(0.2, 2.0), feed_s=(5.0, 25.0)
    )
    cfg = WorldConfig(
        deployment="sicily",
        length_s=14.0,
        workload=workload,
        processing_time_factor=PROCESSING_TIME_FACTOR / 2,
    )

    def publish_zone_out(world: World):
        world.loop.call_later(
            8.0, ZoneOut(world, world.rng("zone")).publish_zone_out, "b"
        )

    _, history = run_world(cfg, publish_zone_out)
    assert history.of("refuse") == []
    assert Checker().check(history).failed == ()
