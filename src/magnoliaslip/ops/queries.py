"""Concurrent queries to several instances."""

from collections.abc import Awaitable, Callable, Sequence
from typing import TypeVar

from anyio import create_task_group

from magnoliaslip.core.address import Address

Reply = TypeVar("Reply")


async def query_all(
    addresses: Sequence[Address], query: Callable[[Address], Awaitable[Reply]]
) -> list[Reply]:
    """Query instances concurrently; the replies are in the order of the addresses.

    Args:
        addresses: Control addresses.
        query: Queries one instance; returns errors instead of raising them.
    """
    replies: dict[Address, Reply] = {}

    async def store_reply(address: Address) -> None:
        replies[address] = await query(address)

    async with create_task_group() as tasks:
        for address in addresses:
            tasks.start_soon(store_reply, address)
    return [replies[address] for address in addresses]
