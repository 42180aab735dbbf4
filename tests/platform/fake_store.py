"""A fake of the platform's store that supports listing and watching items."""

from base64 import b64encode
from json import dumps

import anyio

from magnoliaslip.core.http_server import DropConnection, HttpResponse


class FakeStore:
    """Items with a revision counter; answers requests while `up` is set."""

    def __init__(self):
        self.items = {}
        self.events = []
        self.revision = 1
        self.era = 1
        self.up = True
        self.status = 200
        self.calls = []

    def put(self, key, value):
        self.revision += 1
        text = b64encode(dumps(value).encode()).decode()
        self.items[key] = {"key": key, "value": text, "revision": self.revision}
        self.events.append(self.items[key])

    def remove(self, key):
        self.revision += 1
        del self.items[key]
        self.events.append({"key": key, "revision": self.revision, "removed": True})

    def copy(self):
        """Return what `restore` needs to bring back the present state."""
        return dict(self.items), self.revision

    def restore(self, copy):
        """Lose all changes since a copy; their revisions are given out again."""
        self.items, self.revision = dict(copy[0]), copy[1]
        self.events = [each for each in self.events if each["revision"] <= copy[1]]
        self.era += 1

    def put_server(self, name, address, **fields):
        entry = {
            "service": "desk",
            "address": f"{address[0]}:{address[1]}",
            "zone": "a",
            "version": "v1",
            "sequence": 1,
            "slots": 4,
            "state": "ready",
            "warmup_remaining_ms": 0,
            "born": 1,
        }
        self.put(f"servers/{name}", entry | fields)

    def put_routes(self, version, *endpoints):
        routes = [
            {
                "host": host,
                "prefix": f"/{port}/",
                "type": "idempotent",
                "service": "desk",
            }
            for host, port in endpoints
        ]
        self.put("op/config", {"version": version, "routes": routes})

    async def answer(self, req):
        response = await self._answer(req)
        era = ("Store-Era", str(self.era))
        return HttpResponse(response.status, response.body, (*response.headers, era))

    async def _answer(self, req):
        self.calls.append(req.path)
        if not self.up:
            raise DropConnection
        if self.status != 200:
            return HttpResponse(self.status)
        if req.path == "/v1/kv-range":
            items = sorted(
                (
                    item
                    for key, item in self.items.items()
                    if key.startswith(req.query.get("prefix", ""))
                    and key > req.query.get("after", "")
                ),
                key=lambda item: item["key"],
            )
            page = {"items": items[:2], "has_more": len(items) > 2}
            return HttpResponse.json(page | {"as_of": self.revision})
        return await self._watch(int(req.query["after"]), int(req.query["wait_ms"]))

    async def _watch(self, after, wait_ms):
        if after > self.revision:
            return HttpResponse(410)
        era = self.era
        with anyio.move_on_after(wait_ms / 1000):
            while self.up and self.era == era and self.revision <= after:
                await anyio.sleep(0.01)
        if not self.up or self.era != era:
            raise DropConnection
        events = [event for event in self.events if event["revision"] > after]
        return HttpResponse.json({"events": events, "as_of": self.revision})
