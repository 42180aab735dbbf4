"""News fetched from peers whose heartbeats state a newer version."""

from collections.abc import Callable
from logging import getLogger
from random import Random

import anyio

from magnoliaslip.config.store import SnapshotStore
from magnoliaslip.core.clock import Clock
from magnoliaslip.core.errors import PeerError
from magnoliaslip.core.events import Event, log_event
from magnoliaslip.core.group import MemberState
from magnoliaslip.core.links import PeerLink
from magnoliaslip.core.metrics import Metrics
from magnoliaslip.peering.config_transfer import ReplyAssembly, whole_sets
from magnoliaslip.peering.membership import LIVENESS_TIMEOUT_S, Membership
from magnoliaslip.peering.proto.peer_pb2 import (
    ConfigPiece,
    ConfigReply,
    ConfigRequest,
    PeerMessage,
)

PIECE_WAIT_S = 0.2  # two round trips between zones, and time to encode
PIECE_TRIES = 3
AVOID_S = 1.0  # another peer is asked first after a failed transfer
REFUSED_S = 30.0  # a set that was rejected here is not fetched again for this long
CHECK_S = 0.5

logger = getLogger(__name__)


class _Pending:
    __slots__ = ("arrived", "peer", "piece")

    def __init__(self, peer: str) -> None:
        self.peer = peer
        self.arrived = anyio.Event()
        self.piece: ConfigPiece | None = None


class PeerFeed:
    """Fetches snapshots, history and the list of instances from peers.

    Args:
        membership: Tells the versions that peers state.
        clock: Source of monotonic time.
        link: Sends requests.
        store: Takes the sets.
        rng: Chooses among equal peers.
        metrics: Counts transfers.
        take_instances: Receives the published list of instances.
    """

    __slots__ = (
        "_avoid",
        "_clock",
        "_link",
        "_membership",
        "_metrics",
        "_news",
        "_number",
        "_pending",
        "_refused_until",
        "_refused_version",
        "_rng",
        "_store",
        "_take_instances",
        "needs_history",
    )

    def __init__(
        self,
        membership: Membership,
        *,
        clock: Clock,
        link: PeerLink,
        store: SnapshotStore,
        rng: Random,
        metrics: Metrics,
        take_instances: Callable[[bytes], None],
    ) -> None:
        self._membership = membership
        self._clock = clock
        self._link = link
        self._store = store
        self._rng = rng
        self._metrics = metrics
        self._take_instances = take_instances
        self._news = anyio.Event()
        self._number = 0
        self._pending: dict[int, _Pending] = {}
        self._avoid: dict[str, float] = {}  # until a monotonic time
        self._refused_version = 0
        self._refused_until = 0.0
        self.needs_history = True

    def on_digest(self, peer: str) -> None:
        """Note that the versions which a peer states may have changed."""
        if self._has_news(peer):
            self._news.set()

    async def run(self) -> None:
        """Fetch whatever a live peer has newer, until cancelled."""
        while True:
            with anyio.move_on_after(CHECK_S):
                await self._news.wait()
            self._news = anyio.Event()
            peer = self._choose()
            if peer is None:
                continue
            if await self.fetch(peer):
                self._avoid.pop(peer, None)
            else:
                self._avoid[peer] = self._clock.monotonic() + AVOID_S
                self._news.set()  # another peer may have the news

    def _choose(self) -> str | None:
        """Return the peer to fetch from: not avoided, serving, the newest."""
        now = self._clock.monotonic()
        best, candidates = None, []
        for peer in self._membership.live():
            record = self._membership.record(peer)
            if record is None or not self._has_news(peer):
                continue
            if self._avoid.get(peer, 0.0) > now:
                continue
            serving = record.state is not MemberState.JOINING
            order = (serving, record.config_version, record.instances_version)
            if best is None or order > best:
                best, candidates = order, []
            if order == best:
                candidates.append(peer)
        return self._rng.choice(sorted(candidates)) if candidates else None

    def _has_news(self, peer: str) -> bool:
        record = self._membership.record(peer)
        now = self._clock.monotonic()
        if record is None or now - record.last_received_at > LIVENESS_TIMEOUT_S:
            return False
        if record.instances_version > self._membership.list_version:
            return True
        known = self._version
        if now < self._refused_until:
            known = max(known, self._refused_version)
        if record.config_version > known:
            return True
        return self.needs_history and record.config_version > 0

    @property
    def _version(self) -> int:
        snapshot = self._store.snapshot
        return snapshot.version if snapshot else 0

    async def fetch(self, peer: str) -> bool:
        """Ask a peer for everything newer than what is in force here.

        Returns:
            Whether the peer answered in full. Nothing newer counts as an answer.
        """
        base_version = self._version
        with_history = self.needs_history
        req = ConfigRequest(
            have_version=base_version,
            with_history=with_history,
            have_instances_version=self._membership.list_version,
        )
        try:
            reply = await self._transfer(peer, req)
            if reply is None:
                return False
            base = self._store.values_of(base_version) or {}
            sets = whole_sets(reply, base, now=self._clock.monotonic())
        except PeerError as exc:
            self._metrics.counters["peer_bad_replies"] += 1
            log_event(logger, Event.PEER_REJECTED, peer=peer, error=repr(exc.message))
            return False
        if sets:
            self._store.merge_history(sets)
            newest = max(entry.version for entry in reply.snapshots)
            if newest > self._version:
                self._refused_version = newest
                self._refused_until = self._clock.monotonic() + REFUSED_S
            elif with_history:
                self.needs_history = False
        if reply.instances:
            self._take_instances(reply.instances)
        self._metrics.counters["config_transfers"] += 1
        return True

    async def _transfer(self, peer: str, req: ConfigRequest) -> ConfigReply | None:
        assembly = ReplyAssembly()
        whole = False
        while not whole:
            req.piece, req.transfer = assembly.wanted, assembly.transfer
            piece = await self._piece(peer, req)
            if piece is None:
                return None
            whole = assembly.add(piece)
        return assembly.reply()

    async def _piece(self, peer: str, req: ConfigRequest) -> ConfigPiece | None:
        for _ in range(PIECE_TRIES):
            self._number += 1
            number = req.number = self._number
            pending = self._pending[number] = _Pending(peer)
            sent = ConfigRequest()
            sent.CopyFrom(req)
            self._link.send(peer, PeerMessage(config_request=sent))
            try:
                with anyio.move_on_after(PIECE_WAIT_S):
                    await pending.arrived.wait()
            finally:
                del self._pending[number]
            if pending.piece is not None:
                return pending.piece
        return None

    def on_piece(self, peer: str, piece: ConfigPiece) -> None:
        """Take a piece that answers a request; late and repeated ones are dropped."""
        pending = self._pending.get(piece.number)
        if pending is not None and pending.peer == peer:
            pending.piece = piece
            pending.arrived.set()
