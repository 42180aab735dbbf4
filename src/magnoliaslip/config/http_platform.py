"""Client of the platform over HTTP/1.1."""

from collections.abc import Sequence
from urllib.parse import quote

from anyio import connect_tcp, fail_after, sleep

from magnoliaslip.config.http_client import Connect, http_get
from magnoliaslip.config.platform import Platform, PlatformValue
from magnoliaslip.core.address import Address
from magnoliaslip.core.clock import Clock, SystemClock
from magnoliaslip.core.errors import PlatformError
from magnoliaslip.core.http_exchange import HttpClientResponse, HttpProtocolError

READ_TIMEOUT_S = 2.0
WATCH_GRACE_S = 2.0  # an answer to a watch may arrive this long after its deadline
# The platform answers the watch of a missing key immediately; without a delay, the
# caller would repeat it in a busy loop.
MISSING_KEY_DELAY_S = 1.0


class HttpPlatform(Platform):
    """Reads values from one of several addresses of the platform.

    Each request has its own connection, so that an unresponsive connection is never
    reused. The address that answered last is tried first.

    Args:
        addresses: Addresses of the platform, at least one.
        clock: Source of time for the deadlines of reads and watches.
        read_timeout_s: Time-out of a read in seconds, over all addresses.
        watch_grace_s: Time in seconds by which an answer may exceed its deadline.
        connect: Opens a byte stream to a host and port.
    """

    __slots__ = (
        "_addresses",
        "_clock",
        "_connect",
        "_read_timeout_s",
        "_watch_grace_s",
    )

    def __init__(
        self,
        addresses: Sequence[Address],
        *,
        clock: Clock | None = None,
        read_timeout_s: float = READ_TIMEOUT_S,
        watch_grace_s: float = WATCH_GRACE_S,
        connect: Connect = connect_tcp,
    ) -> None:
        self._addresses = list(addresses)
        self._clock = clock or SystemClock()
        self._read_timeout_s = read_timeout_s
        self._watch_grace_s = watch_grace_s
        self._connect = connect

    async def read(self, key: str) -> PlatformValue | None:
        """Return a value, or None when the key does not exist.

        Raises:
            PlatformError: No address gave a valid answer within the read time-out.
        """
        target = f"/v1/values/{quote(key)}"
        deadline = self._clock.monotonic() + self._read_timeout_s
        response = await self._request(target, deadline=deadline, split_timeout=True)
        return None if response.status == 404 else _parse_value(key, response)

    async def watch(
        self, key: str, *, after: int, deadline: float
    ) -> PlatformValue | None:
        """Wait until a value is newer than ``after``.

        Args:
            key: Name of the value.
            after: Modification counter of the value already held.
            deadline: Monotonic time in seconds at which the watch ends.

        Returns:
            The newer value, or None when the deadline passed without one or the key
            does not exist.

        Raises:
            PlatformError: No valid answer arrived before the end of the grace period
                after the deadline.
        """
        wait_ms = max(0, round((deadline - self._clock.monotonic()) * 1000))
        target = f"/v1/values/{quote(key)}?after={after}&wait_ms={wait_ms}"
        response = await self._request(
            target, deadline=deadline + self._watch_grace_s, split_timeout=False
        )
        if response.status == 404:
            remaining_s = deadline - self._clock.monotonic()
            await sleep(min(MISSING_KEY_DELAY_S, max(0.0, remaining_s)))
        return None if response.status in (304, 404) else _parse_value(key, response)

    async def _request(
        self, target: str, *, deadline: float, split_timeout: bool
    ) -> HttpClientResponse:
        """Query the addresses in turn until one answers.

        Args:
            target: Path and query of the request.
            deadline: Monotonic time in seconds at which the request times out.
            split_timeout: Whether each address gets an equal part of the remaining
                time; otherwise only an address that fails early leaves time to the
                next.
        """
        error: PlatformError | None = None
        for addresses_left in range(len(self._addresses), 0, -1):
            remaining_s = max(0.0, deadline - self._clock.monotonic())
            timeout_s = remaining_s / addresses_left if split_timeout else remaining_s
            address = self._addresses[0]
            try:
                with fail_after(timeout_s):
                    return await self._request_from(address, target)
            except TimeoutError:
                error = _platform_error(
                    address, f"no answer to {target} in {timeout_s:.1f} s"
                )
            except (OSError, HttpProtocolError) as exc:
                error = _platform_error(address, f"request of {target} failed: {exc}")
            except PlatformError as exc:
                error = exc
            self._addresses.append(self._addresses.pop(0))
        raise error or PlatformError(
            "no address is configured",
            place="platform",
            remedy="state the addresses of the platform in the settings",
        )

    async def _request_from(self, address: Address, target: str) -> HttpClientResponse:
        response = await http_get(address, target, connect=self._connect)
        if response.status not in (200, 304, 404):
            raise _platform_error(
                address, f"{target} was answered with status {response.status}"
            )
        return response


def _parse_value(key: str, response: HttpClientResponse) -> PlatformValue:
    index = response.headers.get(b"x-index", b"")
    if response.status != 200 or not index.isdigit():
        raise PlatformError(
            f"expected status 200 and a number in X-Index; status is {response.status}",
            place=key,
            remedy="check that the address is that of the platform",
        )
    return PlatformValue(key, bytes(response.body), int(index))


def _platform_error(address: Address, message: str) -> PlatformError:
    return PlatformError(
        message,
        place=f"platform {address}",
        remedy="check that the platform runs and that its address is reachable",
    )
