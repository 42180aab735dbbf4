"""HTTP client for running instances that steer by server tags."""

from typing import TypeVar
from urllib.parse import urlencode

from anyio import fail_after
from msgspec import DecodeError, ValidationError
from msgspec.json import Decoder

from magnoliaslip.config.http_client import http_get
from magnoliaslip.core.address import Address
from magnoliaslip.core.errors import PeerError
from magnoliaslip.core.http_exchange import HttpProtocolError
from magnoliaslip.runtime.paths import EXPLAIN_PATH, STATUS_PATH
from magnoliaslip.runtime.status import FlowExplanation, SteeringStatus

MAX_REPLY_BYTES = 64 << 20  # enough for 110,000 servers at 200 bytes each

_STATUS_DECODER = Decoder(SteeringStatus)
_EXPLANATION_DECODER = Decoder(FlowExplanation)

Reply = TypeVar("Reply")


class SteeringClient:
    """Sends requests to one instance.

    Args:
        address: Control address of the instance.
        timeout_s: Time-out of a request in seconds.
    """

    __slots__ = ("_address", "_timeout_s")

    def __init__(self, address: Address, *, timeout_s: float) -> None:
        self._address = address
        self._timeout_s = timeout_s

    async def status(self) -> SteeringStatus:
        """Return the status of the instance.

        Raises:
            PeerError: The instance does not reply or rejects the request.
        """
        return await self._request(STATUS_PATH, _STATUS_DECODER)

    async def explain(self, caller: Address, endpoint: Address) -> FlowExplanation:
        """Return where the instance sends packets of a flow.

        Raises:
            PeerError: The instance does not reply or rejects the request.
        """
        query = urlencode({"caller": caller, "endpoint": endpoint})
        return await self._request(f"{EXPLAIN_PATH}?{query}", _EXPLANATION_DECODER)

    async def _request(self, target: str, decoder: Decoder[Reply]) -> Reply:
        try:
            with fail_after(self._timeout_s):
                response = await http_get(
                    self._address, target, max_body_bytes=MAX_REPLY_BYTES
                )
            if response.status != 200:
                raise self._error(f"status {response.status}: {response.body.decode()}")
            return decoder.decode(bytes(response.body))
        except TimeoutError as exc:
            raise self._error(f"no reply within {self._timeout_s:g} s") from exc
        except (OSError, HttpProtocolError, DecodeError, ValidationError) as exc:
            raise self._error(str(exc) or type(exc).__name__) from exc

    def _error(self, message: str) -> PeerError:
        return PeerError(
            message,
            place=f"instance at {self._address}",
            remedy="check that the instance runs and that this is its control address",
        )
