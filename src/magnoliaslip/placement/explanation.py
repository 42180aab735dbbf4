"""Explains which backend server a flow gets, and why."""

from dataclasses import dataclass

from magnoliaslip.packet.flow_key import FlowKey
from magnoliaslip.placement.bucket_table import BUCKET_MASK, NO_SERVER
from magnoliaslip.placement.exception_store import ExceptionStore
from magnoliaslip.placement.hashing import flow_hash
from magnoliaslip.placement.records import FlowFlag, FlowRecord
from magnoliaslip.placement.service import Service
from magnoliaslip.placement.state import PlacementState


@dataclass(slots=True, frozen=True)
class Explanation:
    """Which backend server a flow gets, from a router or from the tables alone.

    Attributes:
        service: The service of the route; empty when no route matches.
        server: The backend server of the flow's record on this instance, or else the
            default that a new flow prefers; empty when there is none.
        zone: Availability zone of that server.
        reason: From a router ``record``, ``exception`` or ``default``, as stated in
            ``forward`` records, and empty without a server; from the tables alone
            ``default``, ``no_route`` or ``no_server``.
        owner: The instance that owns the flow's bucket in this instance's view; empty
            when there is none.
        config_version: Version of the snapshot in force.
        bucket: Number of the flow's bucket.
        steps: The steps of the decision in order, as texts for operators.
    """

    service: str = ""
    server: str = ""
    zone: str = ""
    reason: str = ""
    owner: str = ""
    config_version: int = 0
    bucket: int = 0
    steps: tuple[str, ...] = ()


def explain(
    state: PlacementState, exceptions: ExceptionStore, key: FlowKey
) -> Explanation:
    """Explain the placement of a flow from the state of this instance.

    Args:
        state: State of the router.
        exceptions: The exceptions held by this instance.
        key: Flow key in request direction.
    """
    version = state.snapshot.version
    service = state.routes.get(key[4:8] + key[10:12])
    if service is None:
        return Explanation(
            config_version=version, steps=("no route matches the address",)
        )
    key_hash = flow_hash(key)
    bucket = key_hash & BUCKET_MASK
    owner = service.slices.owner(bucket) or ""
    code = service.code(bucket)
    steps = [
        f"bucket {bucket} is in slice {bucket % service.slices.count}"
        f" of {service.slices.count}, owned by {owner or 'nobody'}",
        "current default "
        f"{_server_name(service, service.epochs.current_default(bucket))}, "
        f"base default {_server_name(service, service.epochs.base_default(bucket))}",
    ]
    if exceptions.buckets.is_dirty(code) or state.certificates.is_dirty(code):
        steps.append("the bucket holds exceptions")
    record = state.records.get(key, key_hash)
    if record is not None:
        number, reason = record.server, _record_reason(record)
        service = state.services[record.service]
        steps.append(
            f"the flow record names {_server_name(service, number)} ({reason})"
        )
    else:
        number, reason = service.epochs.current_default(bucket), "default"
        steps.append(
            "no record on this instance; a new flow prefers the current default"
        )
    server = None if number == NO_SERVER else service.servers[number]
    if server is not None and server.zone in state.snapshot.zones_out:
        steps.append(f"availability zone {server.zone} is out; the flow is abandoned")
    return Explanation(
        service=service.name,
        server=server.name if server else "",
        zone=server.zone if server else "",
        reason=reason if server else "",
        owner=owner,
        config_version=version,
        bucket=bucket,
        steps=tuple(steps),
    )


def _server_name(service: Service, number: int) -> str:
    return "none" if number == NO_SERVER else service.servers[number].name


def _record_reason(record: FlowRecord) -> str:
    return "exception" if record.flags & FlowFlag.EXCEPTION else "record"
