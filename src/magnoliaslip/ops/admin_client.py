"""gRPC client for the admin calls of ``magnoliaslip-instance``.

Instances that steer by server tags answer the HTTP requests of `SteeringClient`.
"""

from collections.abc import Awaitable, Callable
from typing import TypeVar

from anyio import fail_after
from grpclib import GRPCError
from grpclib.client import Channel
from grpclib.exceptions import ProtocolError, StreamTerminatedError
from msgspec import DecodeError
from msgspec.json import Decoder

from magnoliaslip.core.address import Address
from magnoliaslip.core.errors import PeerError
from magnoliaslip.instance.status import InstanceStatus
from magnoliaslip.peering.proto.peer_grpc import AdminStub
from magnoliaslip.peering.proto.peer_pb2 import (
    ExplainRequest,
    JsonReply,
    StatusRequest,
)
from magnoliaslip.placement.explanation import Explanation

DEFAULT_TIMEOUT_S = 3.0

_STATUS_DECODER = Decoder(InstanceStatus)
_EXPLANATION_DECODER = Decoder(Explanation)

Reply = TypeVar("Reply")


class AdminClient:
    """Sends admin requests to one instance.

    Args:
        address: Control address of the instance.
        timeout_s: Time-out of a request in seconds.
    """

    __slots__ = ("_address", "_timeout_s")

    def __init__(
        self, address: Address, *, timeout_s: float = DEFAULT_TIMEOUT_S
    ) -> None:
        self._address = address
        self._timeout_s = timeout_s

    async def status(self) -> InstanceStatus:
        """Return the status of the instance.

        Raises:
            PeerError: The instance does not reply or rejects the request.
        """
        return await self._request(
            lambda stub: stub.Status(StatusRequest()), _STATUS_DECODER
        )

    async def explain(self, caller: Address, service: Address) -> Explanation:
        """Return where the instance sends a packet of a flow.

        Raises:
            PeerError: The instance does not reply or rejects the request.
        """
        request = ExplainRequest(caller=str(caller), service_address=str(service))
        return await self._request(
            lambda stub: stub.Explain(request), _EXPLANATION_DECODER
        )

    async def _request(
        self, call: Callable[[AdminStub], Awaitable[JsonReply]], decoder: Decoder[Reply]
    ) -> Reply:
        try:
            with fail_after(self._timeout_s):
                async with Channel(self._address.host, self._address.port) as channel:
                    reply = await call(AdminStub(channel))
            return decoder.decode(reply.json)
        except TimeoutError as exc:
            raise self._error(f"no reply within {self._timeout_s:g} s") from exc
        except GRPCError as exc:
            raise self._error(f"rejected: {exc.message or exc.status.name}") from exc
        except (OSError, ProtocolError, StreamTerminatedError, DecodeError) as exc:
            raise self._error(str(exc) or type(exc).__name__) from exc

    def _error(self, message: str) -> PeerError:
        return PeerError(
            message,
            place=f"instance at {self._address}",
            remedy="check that the instance runs, that this is its control address, "
            "and that its allowed_networks include this host",
        )
