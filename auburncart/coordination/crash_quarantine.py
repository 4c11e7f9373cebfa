"""Quarantine by strikes: a query that is lost twice on trial is refused for a while."""

import asyncio
import random
from collections import OrderedDict
from typing import Any

from eliot import log_message

from auburncart.coordination.interfaces import PeerBus
from auburncart.coordination.quarantine import Quarantine
from auburncart.coordination.keyed_lock import KeyedLock
from auburncart.state.fact import QueryLoss
from auburncart.state.member import Member
from auburncart.state.query import QueryRun

__all__ = ["CrashQuarantine"]

STRIKES = 2  # upstreams lost before a query is refused
FIRST_TERM_SECONDS = 30.0
LONGEST_TERM_SECONDS = 3600.0
SPREAD_SECONDS = 0.1  # time left to other VMs' reports before a second trial
SAME_CRASH_SECONDS = 5.0  # reports of one upstream within this time are one crash
FORGET_SECONDS = 600.0
MOST_SUSPECTS = 4096
MOST_PROVEN = 8192
REPORTS_PER_SECOND = 50.0
REPORT_BURST = 100.0


class _Suspect:
    """What is held against one query."""

    __slots__ = ("answered", "since", "strikes", "term", "until")

    def __init__(self) -> None:
        self.strikes: dict[str, tuple[str, float]] = {}  # shard and time by address
        self.since = 0.0
        self.until = 0.0
        self.term = 0.0
        self.answered = False

    @property
    def shards(self) -> set[str]:
        return {shard for shard, _ in self.strikes.values()}


class CrashQuarantine(Quarantine):
    """Tests each new query on one shard first, and refuses it after two strikes.

    A strike is an upstream lost at a trial: a request with one query, sent alone because the
    query was untested or suspect. Losses of other requests make a query suspect and no more.
    An answer clears the query for the shard that gave it. A term of refusal ends by a trial;
    each term is twice as long as the one before, plus a random part, so that the VMs' trials
    fall apart.

    :param seed: seed of the random parts; None for different ones in each process.
    :param canary: whether a query that no upstream has answered yet is tested on one shard.
    """

    def __init__(self, seed: int | None = None, canary: bool = True) -> None:
        self._random = random.Random(seed)
        self._canary = canary
        self._bus: PeerBus | None = None
        self._trials = KeyedLock()
        self._suspects: OrderedDict[str, _Suspect] = OrderedDict()
        self._proven: OrderedDict[str, str] = OrderedDict()
        self._reports = REPORT_BURST
        self._reported_at = 0.0

    def exchange_losses(self, bus: PeerBus) -> None:
        """Exchange losses with the other VMs from now on."""
        self._bus = bus
        bus.subscribe(QueryLoss, self._hear)

    def refuses(self, run: QueryRun, now: float) -> bool:
        """Return whether the query serves a term for this shard."""
        suspect = self._suspects.get(run.digest)
        if suspect is None or now >= suspect.until:
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
        if self._proven.get(run.digest) == run.snapshot:
            return False
        return self._canary or run.digest in self._suspects

    def retry_delay(self, run: QueryRun, now: float) -> float:
        """Return the time that other VMs' reports may still take."""
        suspect = self._suspects.get(run.digest)
        if suspect is None:
            return 0.0
        return max(0.0, suspect.since + SPREAD_SECONDS - now)

    async def begin_trial(self, run: QueryRun, until: float) -> bool:
        """Wait until no other search on this VM tests the same query."""
        return await self._trials.acquire(run.digest, until)

    def end_trial(self, run: QueryRun) -> None:
        """Give the turn to the next search with the same query."""
        self._trials.release(run.digest)

    def record_loss(
        self, address: str, runs: tuple[QueryRun, ...], trial: bool, now: float
    ) -> None:
        """Hold a loss against the queries, and report it to the other VMs."""
        for run in runs:
            suspect = self._suspect(run.digest, now)
            suspect.answered &= self._proven.get(run.digest) == run.snapshot
            self._strike(run.digest, address, run.shard, trial, now)
            self._report(QueryLoss(run.digest, address, trial, run.shard), now)

    def record_answer(self, run: QueryRun, now: float) -> None:
        """Clear the query for the shard that answered it."""
        if self._proven.get(run.digest) != run.snapshot:
            self._proven[run.digest] = run.snapshot
            self._proven.move_to_end(run.digest)
            _bound(self._proven, MOST_PROVEN)
        if run.digest in self._suspects:
            self._clear(run)

    def _clear(self, run: QueryRun) -> None:
        suspect = self._suspects[run.digest]
        suspect.answered = True
        for address, (shard, _) in list(suspect.strikes.items()):
            if shard == run.shard:
                del suspect.strikes[address]
        if not suspect.strikes:
            del self._suspects[run.digest]

    def _strike(self, digest: str, address: str, shard: str, trial: bool, now: float) -> None:
        suspect = self._suspect(digest, now)
        held = suspect.strikes.get(address)
        if held is not None and now - held[1] < SAME_CRASH_SECONDS:
            return
        suspect.strikes[address] = (shard, now)
        suspect.since = now
        related = [
            held for held, _ in suspect.strikes.values() if held == shard or not suspect.answered
        ]
        if trial and (len(related) >= STRIKES or suspect.term):
            self._condemn(digest, suspect, now)

    def _suspect(self, digest: str, now: float) -> _Suspect:
        suspect = self._suspects.get(digest)
        if suspect is not None and now - max(suspect.since, suspect.until) > FORGET_SECONDS:
            suspect = None
        if suspect is None:
            suspect = self._suspects[digest] = _Suspect()
            suspect.answered = digest in self._proven
            _bound(self._suspects, MOST_SUSPECTS)
        self._suspects.move_to_end(digest)
        return suspect

    def _condemn(self, digest: str, suspect: _Suspect, now: float) -> None:
        suspect.term = min(LONGEST_TERM_SECONDS, 2 * suspect.term or FIRST_TERM_SECONDS)
        suspect.until = now + suspect.term * self._random.uniform(1.0, 2.0)
        log_message(
            message_type="query_refused",
            query=digest,
            seconds=round(suspect.until - now, 1),
            upstreams=sorted(suspect.strikes),
        )
        if not suspect.answered:
            self._proven.pop(digest, None)

    def _report(self, loss: QueryLoss, now: float) -> None:
        grown = self._reports + (now - self._reported_at) * REPORTS_PER_SECOND
        self._reports, self._reported_at = min(REPORT_BURST, grown), now
        kept = 0.0 if loss.alone else REPORT_BURST / 2
        if self._bus is not None and self._reports >= 1.0 + kept:
            self._reports -= 1.0
            self._bus.publish(loss)

    def _hear(self, loss: QueryLoss, origin: Member) -> None:
        now = asyncio.get_running_loop().time()
        self._strike(loss.digest, loss.address, loss.shard, loss.alone, now)


def _bound(entries: OrderedDict[str, Any], most: int) -> None:
    """Forget the oldest entries above a number."""
    while len(entries) > most:
        entries.popitem(last=False)
