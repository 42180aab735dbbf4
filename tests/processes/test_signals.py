from tests.processes.scenario import run_scenario, wait_until

EXIT_INTERRUPTED = 130
SECOND_SIGNAL_TIMEOUT_S = 1.5  # less than the 2 s that a graceful stop takes at least


def test_first_sigterm_drains_and_second_ends_at_once(tmp_path):
    """Guards against a planned stop that breaks requests, fails or can't be aborted.

    One instance gets one signal and exits; then another one gets two signals.
    """
    codes = []

    async def act(scenario):
        site = scenario.site
        drained, ended = scenario.owner_of("kit-desk"), scenario.owner_of("spawn-lab")
        if ended == drained:
            ended = next(name for name in site.instances if name != drained)
        await site.stop_instance(drained)
        codes.extend(site.instances[drained].exit_codes)
        await scenario.wait_served(30)

        child = site.instances[ended].child

        async def leaving():
            return any("state=leaving" in line for line in child.lines)

        child.terminate()
        await wait_until(leaving, f"{ended} to leave")
        scenario.record_fault("kill", ended)
        child.terminate()
        await child.wait_ended(SECOND_SIGNAL_TIMEOUT_S)
        codes.append(child.exit_code)
        await site.kill_instance(ended)
        await scenario.wait_served(30)

    outcome = run_scenario(tmp_path, act)
    outcome.assert_all_answered()
    assert codes == [0, EXIT_INTERRUPTED]
