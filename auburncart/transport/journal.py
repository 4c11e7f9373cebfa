"""The structured log on standard output, bounded and non-blocking."""

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

LINES_PER_SECOND = 200  # of routine events: a line takes 11 us of CPU time, so 0.2 % of a core
BURST_LINES = 400  # of routine events: two seconds' worth
MAX_QUEUED_LINES = 4000  # about 1 MB
MAX_WRITE_BYTES = 65536  # default capacity of a pipe
FLUSH_INTERVAL_SECONDS = 0.25  # batches the lines of several requests into one write
DROP_REPORT_INTERVAL_SECONDS = 5.0
ROUTINE_EVENTS = (
    Routed,
    Answered,
    Hedged,
    Delegated,
    MergedForPeer,
)  # rate-limited, so that failures and state changes are kept


class EliotJournal(Journal):
    """Writes each event as one line of JSON.

    Routine events are rate-limited, and all events pass through a bounded queue, which fills up
    when the reader stalls. Dropped events are counted by type.

    :param descriptor: file descriptor to write to.
    :param vm: name of the VM, written in every line.
    """

    def __init__(self, descriptor: int, vm: str) -> None:
        self._descriptor = descriptor
        self._vm = vm
        self._lines: deque[bytes] = deque()
        self._unwritten = b""
        self._tokens = float(BURST_LINES)
        self._refilled_at = 0.0
        self._dropped: dict[str, int] = {}
        self._reported_at = 0.0
        self.counts: dict[str, int] = {}
        self.dropped_total = 0
        eliot.add_destinations(self._enqueue)

    def record(self, event: Event) -> None:
        """Queue one event, or drop it if over the rate or the queue is full."""
        kind = type(event).__name__
        self.counts[kind] = self.counts.get(kind, 0) + 1
        if isinstance(event, ROUTINE_EVENTS) and not self._take_token(event):
            self._drop(kind)
            return
        if len(self._lines) >= MAX_QUEUED_LINES:
            self._drop(kind)
            return
        eliot.log_message(message_type=kind, vm=self._vm, **event._asdict())

    async def run(self) -> None:
        """Flush the queue periodically; runs until cancelled."""
        with contextlib.suppress(OSError):
            os.set_blocking(self._descriptor, False)
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_SECONDS)
            self.flush()

    def flush(self) -> None:
        """Write as much as standard output accepts without blocking."""
        now = asyncio.get_running_loop().time()
        if self._dropped and now - self._reported_at >= DROP_REPORT_INTERVAL_SECONDS:
            self._reported_at = now
            dropped, self._dropped = self._dropped, {}
            eliot.log_message(message_type="LinesDropped", vm=self._vm, **dropped)
        while self._unwritten or self._lines:
            self._fill_buffer()
            try:
                written = os.write(self._descriptor, self._unwritten)
            except OSError:  # the reader stalls or has gone; the queue is bounded
                return
            self._unwritten = self._unwritten[written:]

    def _fill_buffer(self) -> None:
        pieces = [self._unwritten]
        size = len(self._unwritten)
        while self._lines and size < MAX_WRITE_BYTES:
            line = self._lines.popleft()
            pieces.append(line)
            size += len(line)
        self._unwritten = b"".join(pieces)

    def _take_token(self, event: Event) -> bool:
        now = asyncio.get_running_loop().time()
        gained = (now - self._refilled_at) * LINES_PER_SECOND
        self._refilled_at = now
        self._tokens = min(float(BURST_LINES), self._tokens + gained)
        # A partial answer counts as a failure and is always logged.
        if self._tokens < 1.0 and not (isinstance(event, Answered) and event.missing):
            return False
        self._tokens -= 1.0
        return True

    def _drop(self, kind: str) -> None:
        self._dropped[kind] = self._dropped.get(kind, 0) + 1
        self.dropped_total += 1

    def _enqueue(self, message: dict[str, Any]) -> None:
        self._lines.append(msgspec.json.encode(message, enc_hook=str) + b"\n")
