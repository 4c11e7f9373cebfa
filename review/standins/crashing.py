"""Stand-in for a replica that some requests crash."""

import asyncio
import time

from review.standins.replica import Replica
from review.standins.wire import read_message

__all__ = ["POISON", "CrashingReplica"]

POISON = "poison"  # a path that contains it crashes each replica that begins to run it
CRASH_SECONDS = 2.5  # after which the replica is back


class CrashingReplica(Replica):
    """A replica that crashes when it begins to run certain requests, and is back later.

    Other requests are answered as by any replica.
    """

    crashes: dict[str, float]  # when it crashed, by request

    async def start(self) -> None:
        """Listen, again at the same address after a crash."""
        if not self.address:
            self.crashes = {}
            await super().start()
            return
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                if POISON in request.start_line[1]:
                    self._crash(request.headers.get("x-attempt-id", ""))
                    return
                writer.write(await self._reply(request))
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            pass  # the VM has closed the connection
        finally:
            self._writers.discard(writer)
            writer.close()

    def _crash(self, request_id: str) -> None:
        self.crashes[request_id] = time.monotonic()
        self._note(f"begins to run {request_id} and crashes")
        self.stop()
        loop = asyncio.get_running_loop()
        loop.call_later(CRASH_SECONDS, lambda: loop.create_task(self.start()))
