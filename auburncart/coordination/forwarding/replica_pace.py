"""When a replica takes requests from this VM, by what it announces in its replies."""

import math
import random
from abc import ABC, abstractmethod

from auburncart.coordination.forwarding.request_limit import RequestLimit, RequestShare
from auburncart.state.forward import Announcement
from auburncart.state.registration import Registration

__all__ = ["PaceShares", "ReplicaPace"]

SHARE_CHECK_SECONDS = 1.0  # between changes of a share, as VMs come and go
MAX_PAUSE_SECONDS = 300.0  # a replica that needs longer is asked once in that time
PAUSE_SPREAD = 0.1  # of a pause, by which VMs return at different times
RESUME_CHECK_SECONDS = 0.05  # while the first request after a pause is in flight


class PaceShares(ABC):
    """Divides the limits that replicas name among the VMs, and logs what replicas announce."""

    @abstractmethod
    def share(self, replica: Registration, limit: float) -> RequestShare:
        """Return this VM's part of a limit.

        :param limit: requests per second that the replica accepts from all VMs.
        """

    @abstractmethod
    def record_limit(self, replica: Registration, before: float, limit: float) -> None:
        """Record that a replica names another limit; infinity stands for none."""

    @abstractmethod
    def record_pause(self, replica: Registration, seconds: float) -> None:
        """Record that a replica wants no requests from this VM for some time."""


class ReplicaPace:
    """A replica's limit on the requests of all VMs, and the pauses that it asks this VM for.

    All times are loop times in seconds.

    :param shares: divides limits among the VMs.
    """

    def __init__(self, shares: PaceShares) -> None:
        self._shares = shares
        self._limit: RequestLimit | None = None
        self._limit_shared_at = 0.0
        self._paused_until = 0.0
        self._resuming = False

    @property
    def request_limit(self) -> float:
        """Requests per second that the replica accepts from all VMs, infinity without a limit."""
        return self._limit.limit if self._limit is not None else math.inf

    @property
    def active(self) -> bool:
        """Whether requests may have to wait."""
        return self._limit is not None or self._resuming

    def announce(
        self, replica: Registration, announced: Announcement, now: float, *, ran: bool
    ) -> None:
        """Record what a reply announces.

        :param ran: whether the replica ran the request. A rejection need not repeat the limit.
        """
        if ran or not math.isinf(announced.request_limit):
            self._record_limit(replica, announced.request_limit, now)
        if announced.retry_after <= 0.0:
            # A pause ends by time alone: this may answer a request from before it.
            self._resuming = self._resuming and now < self._paused_until
            return
        pause = min(announced.retry_after, MAX_PAUSE_SECONDS)
        if now >= self._paused_until:
            self._shares.record_pause(replica, pause)
        pause *= 1.0 + random.uniform(0.0, PAUSE_SPREAD)
        self._paused_until = max(self._paused_until, now + pause)
        self._resuming = True

    def delay(
        self, replica: Registration, priority: int, ahead: int, in_flight: int, now: float
    ) -> float:
        """Return the seconds until a request may be sent, infinity if none may be.

        :param priority: its rank, 0 the most urgent.
        :param ahead: number of requests to be sent before it.
        :param in_flight: number of requests that the replica has not answered yet.
        """
        if now < self._paused_until:
            return self._paused_until - now
        # After a pause one request finds out whether the replica takes others again.
        if self._resuming and in_flight:
            return RESUME_CHECK_SECONDS
        if self._limit is not None and self._limit.expired(now):
            self._record_limit(replica, math.inf, now)
        return self._limit.delay(priority, ahead, now) if self._limit is not None else 0.0

    def take(self, now: float) -> None:
        """Count a request that is sent."""
        if self._limit is not None:
            self._limit.take(now)

    def _record_limit(self, replica: Registration, limit: float, now: float) -> None:
        """Record the limit that a reply names; one that is not a number changes nothing."""
        if math.isnan(limit):
            return
        before = self.request_limit
        if math.isinf(limit):
            self._limit = None
        elif self._limit is None:
            self._limit = RequestLimit(limit, self._shares.share(replica, limit), now)
            self._limit_shared_at = now
        elif limit != before or now - self._limit_shared_at > SHARE_CHECK_SECONDS:
            self._limit.renew(limit, self._shares.share(replica, limit), now)
            self._limit_shared_at = now
        if limit != before:
            self._shares.record_limit(replica, before, limit)
