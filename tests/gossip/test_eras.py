"""Guards against instances that keep what a restored store has replaced."""

from magnoliaslip.registry.store_client import ChangeBatch, ServerChange
from tests.gossip.fleet import deliver, fleet
from tests.steering.harness import server


def restore(node, revision, *changes):
    """Apply the list of a store that was restored from an older copy."""
    added = [ServerChange(each.id, each) for each in node.directory.servers.values()]
    batch = ChangeBatch(revision, (*added, *changes), era=node.directory.era + 1)
    node.directory.replace(batch)


def test_directory_of_a_later_era_is_newer_whatever_its_revision():
    # Guards against instances that keep what the restored store has replaced.
    _, nodes = fleet("a", "a")
    for node in nodes:
        restore(node, 47)
    restore(nodes[1], 22)
    nodes[1].exchange.announce()
    deliver(nodes)
    assert set(nodes[0].newer_hosts) == {nodes[1].host}
    nodes[0].exchange.announce()
    deliver(nodes)
    assert not nodes[1].newer_hosts


def test_changes_of_another_era_are_fetched_and_not_applied():
    _, nodes = fleet("a", "a")
    ahead, behind = nodes
    for node in nodes:
        restore(node, 10)
        node.directory.table = object()
    restore(ahead, 9)
    ahead.exchange.digest(ahead.clock.monotonic())  # records the position before
    change = ServerChange("i-3", server("i-3"))
    ahead.directory.apply(ChangeBatch(12, (change,), era=2))
    assert ahead.exchange.digest(ahead.clock.monotonic()).changes
    ahead.exchange.announce()
    deliver(nodes)
    assert behind.directory.position == (1, 10)
    assert set(behind.newer_hosts) == {ahead.host}


def test_small_changes_travel_with_digests_in_a_later_era():
    _, nodes = fleet("a", "a")
    for node in nodes:
        node.directory.apply(ChangeBatch(10, ()))
        node.directory.table = object()
        restore(node, 9)
    nodes[0].exchange.digest(nodes[0].clock.monotonic())
    change = ServerChange("i-3", server("i-3"))
    nodes[0].directory.apply(ChangeBatch(10, (change,), era=1))
    nodes[0].exchange.announce()
    deliver(nodes)
    assert nodes[1].directory.position == (1, 10)
    assert "i-3" in nodes[1].directory.servers


def test_changes_of_an_earlier_version_that_states_no_era_are_applied():
    # During an upgrade, the instances that watch the store may all be old ones.
    _, nodes = fleet("a", "a")
    for node in nodes:
        node.directory.table = object()
    old, new = nodes
    old.directory.apply(ChangeBatch(10, ()))
    restore(new, 10)
    old.exchange.digest(old.clock.monotonic())
    change = ServerChange("i-3", server("i-3"))
    old.directory.apply(ChangeBatch(11, (change,)))
    assert old.directory.era == 0
    old.exchange.announce()
    deliver(nodes)
    assert new.directory.position == (1, 11)
    assert "i-3" in new.directory.servers
