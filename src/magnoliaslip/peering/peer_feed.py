"""Updates fetched from peers whose heartbeats advertise a newer version."""

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
from magnoliaslip.peering.config_transfer import ReplyAssembly, restore_sets
from magnoliaslip.peering.membership import LIVENESS_TIMEOUT_S, Membership
from magnoliaslip.peering.proto.peer_pb2 import (
    ConfigPiece,
    ConfigRequest,
    PeerMessage,
)

PIECE_TIMEOUT_S = 0.2  # two round trips between zones plus time to encode
PIECE_ATTEMPTS = 3
FAILED_PEER_AVOIDANCE_S = 1.0  # a peer is left out this long after a failed transfer
# A version that this instance rejected is not fetched again for this long.
REJECTED_VERSION_RETRY_S = 30.0
UPDATE_CHECK_INTERVAL_S = 0.5

logger = getLogger(__name__)


class _PendingPiece:
    __slots__ = ("arrived", "peer", "piece")

    def __init__(self, peer: str) -> None:
        self.peer = peer
        self.arrived = anyio.Event()
        self.piece: ConfigPiece | None = None


class PeerFeed:
    """Fetches snapshots, history and the list of instances from peers.

    Args:
        membership: Provides the versions that peers advertise.
        clock: Source of monotonic time.
        link: Sends requests.
        store: Receives the sets of published values.
        rng: Chooses among peers with the same versions.
        metrics: Counts transfers.
        apply_instance_list: Receives the published list of instances.

    Attributes:
        needs_history: Whether requests ask for the history; True until it was received.
    """

    __slots__ = (
        "_apply_instance_list",
        "_avoided_until",
        "_clock",
        "_last_request_number",
        "_link",
        "_membership",
        "_metrics",
        "_pending",
        "_rejected_until",
        "_rejected_version",
        "_rng",
        "_store",
        "_update_available",
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
        apply_instance_list: Callable[[bytes], None],
    ) -> None:
        self._membership = membership
        self._clock = clock
        self._link = link
        self._store = store
        self._rng = rng
        self._metrics = metrics
        self._apply_instance_list = apply_instance_list
        self._update_available = anyio.Event()
        self._last_request_number = 0
        self._pending: dict[int, _PendingPiece] = {}
        self._avoided_until: dict[str, float] = {}  # monotonic time
        self._rejected_version = 0
        self._rejected_until = 0.0
        self.needs_history = True

    def on_advertised_versions(self, peer: str) -> None:
        """Schedule a fetch if a peer advertises a newer version or can send history."""
        if self._has_update(peer):
            self._update_available.set()

    async def run(self) -> None:
        """Fetch newer versions from live peers until cancelled."""
        while True:
            with anyio.move_on_after(UPDATE_CHECK_INTERVAL_S):
                await self._update_available.wait()
            self._update_available = anyio.Event()
            peer = self._choose_peer()
            if peer is None:
                continue
            if await self.fetch(peer):
                self._avoided_until.pop(peer, None)
            else:
                self._avoided_until[peer] = (
                    self._clock.monotonic() + FAILED_PEER_AVOIDANCE_S
                )
                self._update_available.set()  # another peer may have the update

    def _choose_peer(self) -> str | None:
        """Return the peer to fetch from; avoided peers are left out.

        Peers that are not joining come first, then those with the newest versions.
        """
        now = self._clock.monotonic()
        best, candidates = None, []
        for peer in self._membership.live():
            record = self._membership.record(peer)
            if record is None or not self._has_update(peer):
                continue
            if self._avoided_until.get(peer, 0.0) > now:
                continue
            joined = record.state is not MemberState.JOINING
            rank = (joined, record.config_version, record.instances_version)
            if best is None or rank > best:
                best, candidates = rank, []
            if rank == best:
                candidates.append(peer)
        return self._rng.choice(sorted(candidates)) if candidates else None

    def _has_update(self, peer: str) -> bool:
        record = self._membership.record(peer)
        now = self._clock.monotonic()
        if record is None or now - record.last_received_at > LIVENESS_TIMEOUT_S:
            return False
        if record.instances_version > self._membership.list_version:
            return True
        current_version = self._config_version
        if now < self._rejected_until:
            current_version = max(current_version, self._rejected_version)
        if record.config_version > current_version:
            return True
        return self.needs_history and record.config_version > 0

    @property
    def _config_version(self) -> int:
        snapshot = self._store.snapshot
        return snapshot.version if snapshot else 0

    async def fetch(self, peer: str) -> bool:
        """Request from a peer everything newer than what is in force here.

        Returns:
            Whether the peer answered completely, even if it has nothing newer.
        """
        have_version = self._config_version
        with_history = self.needs_history
        req = ConfigRequest(
            have_version=have_version,
            with_history=with_history,
            have_instances_version=self._membership.list_version,
        )
        try:
            assembly = await self._request_reply(peer, req)
            if assembly is None:
                return False
            reply = assembly.reply()
            base_values = self._store.values_of(have_version) or {}
            encoded_at = self._clock.monotonic() - assembly.age_s
            sets = restore_sets(reply, base_values, encoded_at=encoded_at)
        except PeerError as exc:
            self._metrics.counters["peer_bad_replies"] += 1
            log_event(logger, Event.PEER_REJECTED, peer=peer, error=repr(exc.message))
            return False
        if sets:
            self._store.merge_history(sets)
            newest = max(entry.version for entry in reply.snapshots)
            if newest > self._config_version:  # the store rejected the newest set
                self._rejected_version = newest
                self._rejected_until = (
                    self._clock.monotonic() + REJECTED_VERSION_RETRY_S
                )
            elif with_history:
                self.needs_history = False
        if reply.instances:
            self._apply_instance_list(reply.instances)
        self._metrics.counters["config_transfers"] += 1
        return True

    async def _request_reply(
        self, peer: str, req: ConfigRequest
    ) -> ReplyAssembly | None:
        assembly = ReplyAssembly()
        complete = False
        while not complete:
            req.piece, req.transfer = assembly.next_piece, assembly.transfer
            piece = await self._request_piece(peer, req)
            if piece is None:
                return None
            complete = assembly.add(piece)
        return assembly

    async def _request_piece(self, peer: str, req: ConfigRequest) -> ConfigPiece | None:
        for _ in range(PIECE_ATTEMPTS):
            self._last_request_number += 1
            number = req.number = self._last_request_number
            pending = self._pending[number] = _PendingPiece(peer)
            sent = ConfigRequest()
            sent.CopyFrom(req)
            self._link.send(peer, PeerMessage(config_request=sent))
            try:
                with anyio.move_on_after(PIECE_TIMEOUT_S):
                    await pending.arrived.wait()
            finally:
                del self._pending[number]
            if pending.piece is not None:
                return pending.piece
        return None

    def on_piece(self, peer: str, piece: ConfigPiece) -> None:
        """Accept a piece that answers a pending request; drop any other."""
        pending = self._pending.get(piece.number)
        if pending is not None and pending.peer == peer:
            pending.piece = piece
            pending.arrived.set()
