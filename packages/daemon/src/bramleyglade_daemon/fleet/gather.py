"""Calls of one survey, which run at the same time and end with it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypeVar

import curio

if TYPE_CHECKING:
    from collections.abc import Coroutine, Iterable

T = TypeVar("T")


async def gather(calls: Iterable[Coroutine[Any, Any, T]]) -> list[T]:
    """Run calls at the same time.

    None of them outlives its caller, and a cancelled call cancels the caller too.

    Args:
        calls: The calls, not started yet.

    Returns:
        Their results, in the order of the calls.

    Raises:
        Exception: What the first call that fails raises; the others are cancelled.
    """
    async with curio.TaskGroup() as group:
        tasks = [await group.spawn(call) for call in calls]
        # The results of the group would raise the cancellations first.
        result_by_task = {task: task.result async for task in group}
    return [result_by_task[task] for task in tasks]
