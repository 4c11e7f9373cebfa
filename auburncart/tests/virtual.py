"""Runs asynchronous tests on a loop whose clock advances at once whenever all tasks wait."""

import asyncio
import functools
from collections.abc import Callable, Coroutine
from typing import Any

import async_solipsism

__all__ = ["virtual_time"]


def virtual_time(test: Callable[..., Coroutine[Any, Any, None]]) -> Callable[..., None]:
    """Make a synchronous test of an asynchronous one, run on virtual time."""

    @functools.wraps(test)
    def run(*args: Any, **kwargs: Any) -> None:
        with asyncio.Runner(loop_factory=async_solipsism.EventLoop) as runner:
            runner.run(test(*args, **kwargs))

    return run
