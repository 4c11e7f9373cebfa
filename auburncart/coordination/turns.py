"""Turns by name: one holder for each name at a time."""

import asyncio
from collections import deque

__all__ = ["Turns"]


class Turns:
    """Gives each name's turn to one task after another, in the order of asking."""

    def __init__(self) -> None:
        self._waiting: dict[str, deque[asyncio.Future[None]]] = {}

    async def take(self, name: str, until: float) -> bool:
        """Wait for the turn.

        :param until: loop time in seconds at which to give up.
        :return: whether the turn was given.
        """
        queue = self._waiting.get(name)
        if queue is None:
            self._waiting[name] = deque()
            return True
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        queue.append(turn)
        try:
            async with asyncio.timeout_at(until):
                await turn
        except TimeoutError:
            self._leave(name, turn)
            return False
        except asyncio.CancelledError:
            self._leave(name, turn)
            raise
        return True

    def end(self, name: str) -> None:
        """Give the turn to the next that waits."""
        queue = self._waiting[name]
        while queue:
            turn = queue.popleft()
            if not turn.done():
                turn.set_result(None)
                return
        del self._waiting[name]

    def _leave(self, name: str, turn: asyncio.Future[None]) -> None:
        if turn.done() and not turn.cancelled():
            self.end(name)
        elif turn in self._waiting.get(name, ()):
            self._waiting[name].remove(turn)
