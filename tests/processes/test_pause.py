from anyio import sleep

from tests.processes.scenario import run_scenario, wait_until

# Longer than 4 s, the longest time-out of an instance, and than the 5 s after which no
# packet may reach a zone that was taken out.
PAUSE_S = 6.0


def test_resumed_instance_sends_nothing_to_a_zone_taken_out_meanwhile(tmp_path):
    """Guards against a resumed instance that acts on its old view and configuration."""
    names = []

    async def act(scenario):
        site = scenario.site
        name = scenario.owner_of("kit-desk")
        zone = next(z for z in "abcd" if z != site.instances[name].entry.zone)
        names.extend((name, zone))
        scenario.record_fault("pause", name)
        await site.pause_instance(name)
        site.tables.zones_out.add(zone)
        await site.publish("zones")
        await sleep(PAUSE_S)
        scenario.record_fault("pause", name, "end")
        await site.resume_instance(name)

        async def has_current_version():
            status = await site.instances[name].status()
            return status.get("config_version") == site.tables.version

        await wait_until(
            has_current_version, f"version {site.tables.version} at {name}"
        )
        await scenario.wait_served(60)

    outcome = run_scenario(tmp_path, act)
    outcome.assert_rules_hold()
    name, zone = names
    resumed = outcome.history.of("fault")[-1].t
    forwarded = [r for r in outcome.history.of("forward") if r.who == name]
    assert any(r["zone"] == zone for r in forwarded if r.t < resumed - PAUSE_S)
    assert any(r.t > resumed for r in forwarded)
