from tests.processes.scenario import WAIT_TIMEOUT_S, run_scenario, wait_until


def test_killed_owner_breaks_no_flow(tmp_path):
    """Guards against flows that break because the owner of their slice crashes."""
    killed = []

    async def act(scenario):
        site = scenario.site
        name = scenario.owner_of("kit-desk")
        killed.append(name)
        scenario.record_fault("kill", name)
        await site.kill_instance(name)

        async def absent_from_every_view():
            statuses = [
                await instance.status()
                for instance in site.instances.values()
                if instance.is_running
            ]
            return all(
                status and name not in {m["id"] for m in status["members"]}
                for status in statuses
            )

        await wait_until(absent_from_every_view, f"every view without {name}")
        await scenario.wait_served(60)
        await site.instances[name].child.wait_ended(WAIT_TIMEOUT_S)
        assert site.instances[name].child.exit_code == -9
        await site.start_instance(name)
        await scenario.wait_served(60)

    outcome = run_scenario(tmp_path, act)
    outcome.assert_all_answered()
    assert outcome.report.restarts[killed[0]] == 1
    assert any(r.who == killed[0] for r in outcome.history.of("forward"))
