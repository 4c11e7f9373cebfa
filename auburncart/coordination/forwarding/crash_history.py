"""Crashes of replicas during repetitions of a request, and when these are refused."""

from abc import ABC, abstractmethod
from typing import NamedTuple

from auburncart.state.crash import CrashReport

__all__ = [
    "CRASH_THRESHOLD",
    "REFUSAL_SECONDS",
    "CrashHistory",
    "PathCrashHistory",
    "RequestCrashHistory",
]

CRASH_THRESHOLD = 3  # fewer crashes may be coincidence
COINCIDENCE_SECONDS = 1.0  # within which replicas that crash together are lost
REFUSAL_SECONDS = 60.0  # a caller that repeats a request for a minute has given up by then
MAX_REFUSAL_SECONDS = 3600.0
PROBATION_SECONDS = 600.0  # after a refusal; then the history is forgotten


class _Crash(NamedTuple):
    at: float
    report: CrashReport


class CrashHistory(ABC):
    """Decides from their crashes when requests are refused; works like a circuit breaker.

    After three crashes requests are refused for a time; then they are on trial, and the next crash
    refuses them for twice as long, also after a trial that was passed at one service of several.
    Subclasses decide which crashes are no coincidence.

    All times are loop times in seconds.
    """

    def __init__(self) -> None:
        self._crashes: dict[str, _Crash] = {}
        self._refused_until = 0.0
        self._period = 0.0
        self._passed_trial = False

    @property
    def refused_until(self) -> float:
        """Time until which requests are refused, 0 if they never were."""
        return self._refused_until

    def knows(self, name: str) -> bool:
        """Return whether a report has been counted."""
        return name in self._crashes

    def add(self, name: str, report: CrashReport, now: float) -> None:
        """Count a crash, once for each name."""
        if name in self._crashes:
            return
        self._crashes[name] = _Crash(now, report)
        self._passed_trial = False
        if now < self._refused_until:
            self._refused_until = now + self._period
        elif self._period or self.count(now) >= CRASH_THRESHOLD:
            self._period = min(MAX_REFUSAL_SECONDS, 2.0 * self._period or REFUSAL_SECONDS)
            self._refused_until = now + self._period

    def pass_trial(self) -> None:
        """End the trial; the next crash still refuses requests for twice as long."""
        self._passed_trial = True

    def repeat_refusal(self, now: float) -> None:
        """Refuse requests for as long as before, since a trial has shown nothing."""
        self._refused_until = now + self._period

    @abstractmethod
    def count(self, now: float) -> int:
        """Return the number of recent crashes that are no coincidence."""

    def on_trial(self, now: float) -> bool:
        """Return whether requests were refused before and may be sent to one replica."""
        return self._period > 0.0 and now >= self._refused_until and not self._passed_trial

    def expired(self, now: float) -> bool:
        """Return whether the history can be forgotten."""
        if self._period:
            return now >= self._refused_until + PROBATION_SECONDS
        return all(now - crash.at >= REFUSAL_SECONDS for crash in self._crashes.values())

    def _recent(self, now: float) -> list[_Crash]:
        return [crash for crash in self._crashes.values() if now - crash.at < REFUSAL_SECONDS]


class RequestCrashHistory(CrashHistory):
    """Crashes during one request and its repetitions.

    Replicas that are lost within a moment count as one crash if another replica answered the
    attempt, or the request shortly before, since a request that crashes what runs it has no
    answers.
    """

    def __init__(self) -> None:
        super().__init__()
        self._answered: set[str] = set()

    def record_answer(self, attempt: str, now: float) -> None:
        """Take the crashes during an attempt for coincidence, since a replica has answered it.

        :param attempt: hash of the attempt's identifier.
        """
        self._answered.add(attempt)
        is_first_refusal = self._period == REFUSAL_SECONDS and now < self._refused_until
        if is_first_refusal and self.count(now) < CRASH_THRESHOLD:
            self._refused_until = self._period = 0.0

    def count(self, now: float) -> int:
        """Return the number of recent crashes that are no coincidence."""
        replicas_by_attempt: dict[str, set[str]] = {}
        coincidences: list[float] = []
        for at, report in self._recent(now):
            if report.answered or report.attempt in self._answered:
                coincidences.append(at)
                continue
            replicas = replicas_by_attempt.setdefault(report.attempt, set())
            if not report.silent:
                replicas.add(report.replica)
        crashes = sum(max(1, len(replicas)) for replicas in replicas_by_attempt.values())
        return crashes + _count_moments(coincidences)


class PathCrashHistory(CrashHistory):
    """Crashes during requests for one path with different queries.

    It is for requests whose query changes with each repetition. While other queries of the path
    are answered, it counts nothing: then the query matters, and each has a history of its own.
    """

    def count(self, now: float) -> int:
        """Return the number of moments with recent crashes, 0 if one query caused them all."""
        crashes = self._recent(now)
        if len({crash.report.digest for crash in crashes}) < 2:
            return 0
        return _count_moments([crash.at for crash in crashes])


def _count_moments(times: list[float]) -> int:
    """Return the number of moments at which events happened, however many at each.

    :param times: loop times of the events in seconds.
    """
    moments, ends_at = 0, float("-inf")
    for at in sorted(times):
        if at > ends_at:
            moments, ends_at = moments + 1, at + COINCIDENCE_SECONDS
    return moments
