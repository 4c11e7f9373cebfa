"""Quarantine by crashes: a query that crashes two upstreams on trial is refused for a time."""

import asyncio
import random
from collections import OrderedDict
from typing import Any

from eliot import log_message

from auburncart.coordination.interfaces import PeerBus
from auburncart.coordination.named_locks import NamedLocks
from auburncart.coordination.quarantine import Quarantine
from auburncart.state.member import Member
from auburncart.state.payload import QueryLoss
from auburncart.state.query import QueryRun

__all__ = ["CrashQuarantine"]

CRASHES_TO_REFUSE = 2  # upstreams lost before a query is refused
INITIAL_REFUSAL_SECONDS = 30.0
MAX_REFUSAL_SECONDS = 3600.0  # without the random part
REPORT_DELAY_SECONDS = 0.1  # for other VMs' reports to arrive before a second trial
SAME_CRASH_SECONDS = 5.0  # reports of one upstream within this time are one crash
SUSPICION_SECONDS = 600.0  # after the last crash or refusal
MAX_SUSPECTS = 4096
MAX_ANSWERED = 8192
REPORTS_PER_SECOND = 50.0
REPORT_BURST = 100.0


class _Suspect:
    """Crashes recorded for one query, and the period in which it is refused."""

    __slots__ = ("answered", "crashed_at", "crashes", "refusal_seconds", "refused_until")

    def __init__(self) -> None:
        self.crashes: dict[str, tuple[str, float]] = {}  # shard and time by address
        self.crashed_at = 0.0
        self.refused_until = 0.0
        self.refusal_seconds = 0.0
        self.answered = False

    @property
    def shards(self) -> set[str]:
        return {shard for shard, _ in self.crashes.values()}


class CrashQuarantine(Quarantine):
    """Tests each new query on one shard first, and refuses it after two crashes on trial.

    A trial is a request with one query, sent alone because the query is untested or suspect. An
    upstream lost while it runs another request makes its queries suspect and no more. An answer
    clears the query for the shard that gave it. A refusal period ends with a trial. Each period
    is twice as long as the previous one, plus a random part that spreads the VMs' trials.

    :param seed: seed of the random parts; None for different ones in each process.
    :param canary: whether a query that no upstream has answered yet is tested on one shard.
    """

    def __init__(self, seed: int | None = None, canary: bool = True) -> None:
        self._random = random.Random(seed)
        self._canary = canary
        self._bus: PeerBus | None = None
        self._trials = NamedLocks()
        self._suspects: OrderedDict[str, _Suspect] = OrderedDict()
        self._answered_snapshots: OrderedDict[str, str] = OrderedDict()
        self._report_tokens = REPORT_BURST
        self._report_refilled_at = 0.0

    def exchange_losses(self, bus: PeerBus) -> None:
        """Exchange losses with the other VMs from now on."""
        self._bus = bus
        bus.subscribe(QueryLoss, self._receive_report)

    def refuses(self, run: QueryRun, now: float) -> bool:
        """Return whether the query is in a refusal period for this shard."""
        suspect = self._suspects.get(run.digest)
        if suspect is None or now >= suspect.refused_until:
            return False
        return not suspect.answered or run.shard in suspect.shards

    def isolates(self, run: QueryRun, now: float) -> bool:
        """Return whether the query is untested, or suspect on this shard."""
        if self.untested(run, now):
            return True
        suspect = self._suspects.get(run.digest)
        return suspect is not None and run.shard in suspect.shards

    def untested(self, run: QueryRun, now: float) -> bool:
        """Return whether no upstream has answered the query on this snapshot."""
        if self._answered_snapshots.get(run.digest) == run.snapshot:
            return False
        return self._canary or run.digest in self._suspects

    def retry_delay(self, run: QueryRun, now: float) -> float:
        """Return the time that other VMs' reports may still take to arrive."""
        suspect = self._suspects.get(run.digest)
        if suspect is None:
            return 0.0
        return max(0.0, suspect.crashed_at + REPORT_DELAY_SECONDS - now)

    async def begin_trial(self, run: QueryRun, until: float) -> bool:
        """Wait until no other search on this VM tests the same query."""
        return await self._trials.acquire(run.digest, until)

    def end_trial(self, run: QueryRun) -> None:
        """Let the next search with the same query test it."""
        self._trials.release(run.digest)

    def record_loss(
        self, address: str, runs: tuple[QueryRun, ...], trial: bool, now: float
    ) -> None:
        """Record a loss for each query of the request, and report it to the other VMs."""
        for run in runs:
            suspect = self._get_suspect(run.digest, now)
            suspect.answered &= self._answered_snapshots.get(run.digest) == run.snapshot
            self._record_crash(run.digest, address, run.shard, trial, now)
            self._report(QueryLoss(run.digest, address, trial, run.shard), now)

    def record_answer(self, run: QueryRun, now: float) -> None:
        """Clear the query for the shard that answered it."""
        if self._answered_snapshots.get(run.digest) != run.snapshot:
            self._answered_snapshots[run.digest] = run.snapshot
            self._answered_snapshots.move_to_end(run.digest)
            _trim(self._answered_snapshots, MAX_ANSWERED)
        if run.digest in self._suspects:
            self._clear(run)

    def _clear(self, run: QueryRun) -> None:
        suspect = self._suspects[run.digest]
        suspect.answered = True
        for address, (shard, _) in list(suspect.crashes.items()):
            if shard == run.shard:
                del suspect.crashes[address]
        if not suspect.crashes:
            del self._suspects[run.digest]

    def _record_crash(self, digest: str, address: str, shard: str, trial: bool, now: float) -> None:
        suspect = self._get_suspect(digest, now)
        known = suspect.crashes.get(address)
        if known is not None and now - known[1] < SAME_CRASH_SECONDS:
            return
        suspect.crashes[address] = (shard, now)
        suspect.crashed_at = now
        related = [
            known for known, _ in suspect.crashes.values() if known == shard or not suspect.answered
        ]
        if trial and (len(related) >= CRASHES_TO_REFUSE or suspect.refusal_seconds):
            self._refuse(digest, suspect, now)

    def _get_suspect(self, digest: str, now: float) -> _Suspect:
        suspect = self._suspects.get(digest)
        if (
            suspect is not None
            and now - max(suspect.crashed_at, suspect.refused_until) > SUSPICION_SECONDS
        ):
            suspect = None
        if suspect is None:
            suspect = self._suspects[digest] = _Suspect()
            suspect.answered = digest in self._answered_snapshots
            _trim(self._suspects, MAX_SUSPECTS)
        self._suspects.move_to_end(digest)
        return suspect

    def _refuse(self, digest: str, suspect: _Suspect, now: float) -> None:
        suspect.refusal_seconds = min(
            MAX_REFUSAL_SECONDS, 2 * suspect.refusal_seconds or INITIAL_REFUSAL_SECONDS
        )
        suspect.refused_until = now + suspect.refusal_seconds * self._random.uniform(1.0, 2.0)
        log_message(
            message_type="query_refused",
            query=digest,
            seconds=round(suspect.refused_until - now, 1),
            upstreams=sorted(suspect.crashes),
        )
        if not suspect.answered:
            self._answered_snapshots.pop(digest, None)

    def _report(self, loss: QueryLoss, now: float) -> None:
        tokens = self._report_tokens + (now - self._report_refilled_at) * REPORTS_PER_SECOND
        self._report_tokens, self._report_refilled_at = min(REPORT_BURST, tokens), now
        reserved = 0.0 if loss.alone else REPORT_BURST / 2
        if self._bus is not None and self._report_tokens >= 1.0 + reserved:
            self._report_tokens -= 1.0
            self._bus.publish(loss)

    def _receive_report(self, loss: QueryLoss, origin: Member) -> None:
        now = asyncio.get_running_loop().time()
        self._record_crash(loss.digest, loss.address, loss.shard, loss.alone, now)


def _trim(entries: OrderedDict[str, Any], max_entries: int) -> None:
    """Remove the oldest entries above a maximum number."""
    while len(entries) > max_entries:
        entries.popitem(last=False)
