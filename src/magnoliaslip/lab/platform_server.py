"""Simulator of the platform over HTTP/1.1, with lab-only endpoints that control it."""

from collections.abc import Mapping
from functools import partial

from anyio import TASK_STATUS_IGNORED, create_task_group
from anyio.abc import TaskStatus
from msgspec.json import decode

from magnoliaslip.core.address import Address
from magnoliaslip.core.http_server import (
    DropConnection,
    HttpRequest,
    HttpResponse,
    serve_http,
)
from magnoliaslip.lab.platform_store import (
    PlatformDownError,
    PlatformMode,
    PlatformStore,
)

VALUES_PATH = "/v1/values/"
PUBLISH_PATH = "/lab/values/"
MODE_PATH = "/lab/mode"
READS_PATH = "/lab/reads"
MAX_LONG_POLL_S = 60.0
ADMIN_GROUP = "admin"


class PlatformServer:
    """Serves a `PlatformStore`.

    Args:
        store: The values and the mode of each group of readers.
        listeners: Address by group of readers. Modes don't apply to `ADMIN_GROUP`.
            The lab-only endpoints answer on every listener.
    """

    def __init__(self, store: PlatformStore, listeners: Mapping[str, Address]) -> None:
        self._store = store
        self._listeners = dict(listeners)

    async def run(self, *, task_status: TaskStatus[None] = TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled."""
        async with create_task_group() as tasks:
            for group, address in self._listeners.items():
                handler = partial(self._handle, group)
                await tasks.start(serve_http, address, handler)
            task_status.started()
            print("ready platform", flush=True)

    async def _handle(self, group: str, req: HttpRequest) -> HttpResponse:
        if req.method == "GET" and req.path.startswith(VALUES_PATH):
            return await self._read(group, req)
        if req.method == "PUT" and req.path.startswith(PUBLISH_PATH):
            key = req.path.removeprefix(PUBLISH_PATH)
            return HttpResponse.json({"index": self._store.publish(key, req.body)})
        if req.method == "PUT" and req.path == MODE_PATH:
            return self._set_mode(decode(req.body))
        if req.method == "GET" and req.path == READS_PATH:
            peak = self._store.peak_reads_per_s
            return HttpResponse.json({"reads": self._store.reads, "peak_per_s": peak})
        return HttpResponse.json({"error": "no such path"}, status=404)

    async def _read(self, group: str, req: HttpRequest) -> HttpResponse:
        key = req.path.removeprefix(VALUES_PATH)
        after = int(req.query.get("after", -1))
        wait_s = min(int(req.query.get("wait_ms", 0)) / 1000, MAX_LONG_POLL_S)
        try:
            value = await self._store.read(key, group=group, after=after, wait_s=wait_s)
        except PlatformDownError:
            raise DropConnection from None
        except KeyError:
            return HttpResponse.json({"error": "no such key"}, status=404)
        if value is None:
            return HttpResponse(304)
        headers = (("X-Index", str(value.index)), ("Content-Type", "application/json"))
        return HttpResponse(200, value.data, headers)

    def _set_mode(self, body: Mapping[str, str]) -> HttpResponse:
        mode = PlatformMode(body["mode"])
        groups = [body["group"]] if "group" in body else list(self._listeners)
        unknown = set(groups) - set(self._listeners)
        if unknown:
            raise ValueError(f"no listener for the group of readers {unknown.pop()!r}")
        self._store.set_mode(mode, [name for name in groups if name != ADMIN_GROUP])
        return HttpResponse.json({"mode": mode, "groups": groups})
