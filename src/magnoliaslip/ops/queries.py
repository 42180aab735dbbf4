"""Questions to several instances at the same time."""

from collections.abc import Awaitable, Callable, Sequence
from typing import TypeVar

from anyio import create_task_group

from magnoliaslip.core.address import Address

Reply = TypeVar("Reply")


async def query_all(
    addresses: Sequence[Address], query: Callable[[Address], Awaitable[Reply]]
) -> list[Reply]:
    """Ask instances at the same time; the answers are in order of the addresses.

    Args:
        addresses: Control addresses.
        query: Asks one instance; returns its errors as answers.
    """
    replies: dict[Address, Reply] = {}

    async def store_reply(address: Address) -> None:
        replies[address] = await query(address)

    async with create_task_group() as tasks:
        for address in addresses:
            tasks.start_soon(store_reply, address)
    return [replies[address] for address in addresses]
