"""Runs asynchronous tests on an event loop whose clock jumps ahead whenever all tasks wait."""

import asyncio
import functools
from collections.abc import Callable, Coroutine
from typing import Any

import async_solipsism

__all__ = ["virtual_time"]


def virtual_time(test: Callable[..., Coroutine[Any, Any, None]]) -> Callable[..., None]:
    """Return a synchronous test that runs an asynchronous one on virtual time."""

    @functools.wraps(test)
    def run(*args: Any, **kwargs: Any) -> None:
        with asyncio.Runner(loop_factory=async_solipsism.EventLoop) as runner:
            runner.run(test(*args, **kwargs))

    return run
