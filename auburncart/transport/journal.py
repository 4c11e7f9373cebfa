"""The structured log on standard output: bounded, and never waited for."""

import asyncio
import contextlib
import os
from collections import deque
from typing import Any

import eliot
import msgspec

from auburncart.coordination.forwarding.journal import Journal
from auburncart.state.event import Answered, Delegated, Event, Hedged, MergedForPeer, Routed

__all__ = ["EliotJournal"]

LINES_PER_SECOND = 200  # of routine events: a line takes 11 us of a processor, so 0.2 % of a core
BURST_LINES = 400  # routine lines at once: two seconds' worth
MOST_WAITING = 4000  # lines that wait for the reader of standard output, about 1 MB
WRITE_BYTES = 65536  # capacity of a pipe
FLUSH_SECONDS = 0.25  # between writes; joins the lines of some requests into one call
REPORT_SECONDS = 5.0  # between reports of dropped lines
ROUTINE = (
    Routed,
    Answered,
    Hedged,
    Delegated,
    MergedForPeer,
)  # may be dropped for the sake of failures and beliefs


class EliotJournal(Journal):
    """Writes each event as one line of JSON.

    Routine events have a budget of lines a second; every event has its place in a bounded queue,
    which a reader that stalls may fill. What is dropped is counted by kind.

    :param descriptor: file descriptor to write to.
    :param vm: name of the VM, which every line carries.
    """

    def __init__(self, descriptor: int, vm: str) -> None:
        self._descriptor = descriptor
        self._vm = vm
        self._lines: deque[bytes] = deque()
        self._rest = b""
        self._tokens = float(BURST_LINES)
        self._filled_at = 0.0
        self._dropped: dict[str, int] = {}
        self._reported_at = 0.0
        self.counts: dict[str, int] = {}
        self.dropped_total = 0
        eliot.add_destinations(self._take)

    def record(self, event: Event) -> None:
        """Take in one event."""
        kind = type(event).__name__
        self.counts[kind] = self.counts.get(kind, 0) + 1
        if isinstance(event, ROUTINE) and not self._afford(event):
            self._drop(kind)
            return
        if len(self._lines) >= MOST_WAITING:
            self._drop(kind)
            return
        eliot.log_message(message_type=kind, vm=self._vm, **event._asdict())

    async def run(self) -> None:
        """Write what waits from time to time; runs until cancelled."""
        with contextlib.suppress(OSError):
            os.set_blocking(self._descriptor, False)
        while True:
            await asyncio.sleep(FLUSH_SECONDS)
            self.flush()

    def flush(self) -> None:
        """Write as much as the reader takes without waiting."""
        now = asyncio.get_running_loop().time()
        if self._dropped and now - self._reported_at >= REPORT_SECONDS:
            self._reported_at = now
            dropped, self._dropped = self._dropped, {}
            eliot.log_message(message_type="LinesDropped", vm=self._vm, **dropped)
        while self._rest or self._lines:
            self._fill()
            try:
                written = os.write(self._descriptor, self._rest)
            except OSError:  # a reader that stalls or has gone; what waits is bounded
                return
            self._rest = self._rest[written:]

    def _fill(self) -> None:
        pieces = [self._rest]
        size = len(self._rest)
        while self._lines and size < WRITE_BYTES:
            line = self._lines.popleft()
            pieces.append(line)
            size += len(line)
        self._rest = b"".join(pieces)

    def _afford(self, event: Event) -> bool:
        now = asyncio.get_running_loop().time()
        gained = (now - self._filled_at) * LINES_PER_SECOND
        self._filled_at = now
        self._tokens = min(float(BURST_LINES), self._tokens + gained)
        # An answer with parts missing is a failure that someone may ask about.
        if self._tokens < 1.0 and not (isinstance(event, Answered) and event.missing):
            return False
        self._tokens -= 1.0
        return True

    def _drop(self, kind: str) -> None:
        self._dropped[kind] = self._dropped.get(kind, 0) + 1
        self.dropped_total += 1

    def _take(self, message: dict[str, Any]) -> None:
        self._lines.append(msgspec.json.encode(message, enc_hook=str) + b"\n")
