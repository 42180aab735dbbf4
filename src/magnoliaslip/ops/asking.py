"""Questions to several instances at the same time."""

from collections.abc import Awaitable, Callable, Sequence
from typing import TypeVar

from anyio import create_task_group

from magnoliaslip.core.address import Address

T = TypeVar("T")


async def ask_all(
    addresses: Sequence[Address], ask: Callable[[Address], Awaitable[T]]
) -> list[T]:
    """Ask instances at the same time; the answers are in order of the addresses.

    Args:
        addresses: Control addresses.
        ask: Asks one instance; returns its errors as answers.
    """
    answers: dict[Address, T] = {}

    async def note(address: Address) -> None:
        answers[address] = await ask(address)

    async with create_task_group() as tasks:
        for address in addresses:
            tasks.start_soon(note, address)
    return [answers[address] for address in addresses]
