from magnoliaslip.lab.platform_store import PlatformMode
from tests.processes.scenario import run_scenario


def test_requests_are_served_while_the_platform_is_down(tmp_path):
    """Guards against forwarding or membership that depends on the platform.

    Also guards against a new instance that waits for the platform although it can
    get the configuration from its peers.
    """
    names = []

    async def act(scenario):
        site = scenario.site
        name = scenario.owner_of("kit-desk")
        names.append(name)
        scenario.record_fault("platform_down", "platform")
        await site.set_platform_mode(PlatformMode.DOWN)
        await scenario.wait_served(30)
        await site.stop_instance(name)
        await site.start_instance(name)
        await scenario.wait_served(60)

    outcome = run_scenario(tmp_path, act, seed_peers=True)
    outcome.assert_all_answered()
    name = names[0]
    assert outcome.report.exit_codes[name] == [0]
    assert outcome.report.restarts[name] == 1
    assert set(outcome.report.config_versions.values()) == {outcome.report.published}
    states = [r for r in outcome.history.of("state") if r.who == name]
    joined = [r.t for r in states if r["state"] == "joining"][-1]
    configured = [r for r in outcome.history.of("config") if r.who == name][-1]
    assert configured.t > joined
    assert any(
        r.t > configured.t for r in outcome.history.of("forward") if r.who == name
    )
