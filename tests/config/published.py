"""Published values for the tests of the configuration."""

from typing import Any

from msgspec.json import encode

ROUTE = {"address": "198.51.100.10", "port": 443, "service": "kit-desk"}
SERVER = {"name": "kd-1", "address": "127.0.0.1", "port": 6080, "zone": "a", "slots": 4}
POOL = {"service": "kit-desk", "servers": [SERVER]}


def publish(
    version: int = 1,
    *,
    routes: list[Any] | None = None,
    pools: list[Any] | None = None,
    zones: dict[str, Any] | None = None,
    versions: dict[str, int] | None = None,
) -> dict[str, bytes]:
    """Return a valid set of values, with parts replaced."""
    named = {"routes/0": version, "pools/0": version, "zones": version}
    named |= versions or {}
    documents = {
        "index": {"version": version, "values": named},
        "routes/0": {
            "version": named["routes/0"],
            "routes": [ROUTE] if routes is None else routes,
        },
        "pools/0": {
            "version": named["pools/0"],
            "pools": [POOL] if pools is None else pools,
        },
        "zones": {"version": named["zones"], "zones": zones or {"a": "in"}},
    }
    return {key: encode(document) for key, document in documents.items()}
