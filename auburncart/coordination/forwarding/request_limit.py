"""This VM's part of the requests that a replica accepts from all VMs together."""

import math
import random
from collections.abc import Sequence
from typing import NamedTuple

from auburncart.coordination.rendezvous import rendezvous_select

__all__ = ["RequestLimit", "RequestShare", "request_share"]

USED_SHARE = 0.95  # of the limit: requests of different VMs may arrive closer than they were sent
# All VMs together may send this much at once, after a time without requests.
BURST_SECONDS = 2.0  # of the limit
BURST_REQUESTS = 4.0
RESERVED_SHARE = 0.5  # of the burst beyond one request, for the most urgent rank
FAVOURED_SHARE = 0.75  # for the VMs that query a shard for others
# Without a reply the end of a limit cannot be seen. Random, so that VMs do not return together.
MIN_MEMORY_SECONDS = 20.0
MAX_MEMORY_SECONDS = 40.0


class RequestShare(NamedTuple):
    """One VM's part of a limit.

    :param rate: requests per second.
    :param burst: requests at once; 0 if this VM must send none.
    """

    rate: float
    burst: float

    def divided(self, vms: int) -> "RequestShare":
        """Return the part of one of several VMs that are not known by name."""
        return RequestShare(self.rate / vms, max(1.0, self.burst / vms))


def request_share(
    limit: float, own: str, favoured: Sequence[str], others: Sequence[str], replica: str
) -> RequestShare:
    """Return one VM's part of a limit; the parts of all VMs add up to the limit.

    A part below one request at once is of no use, so that a small limit is divided among some of
    the VMs only. Rendezvous hashing chooses others for each replica.

    :param limit: requests per second that the replica accepts from all VMs.
    :param own: name of this VM.
    :param favoured: names of the VMs that share the larger part.
    :param others: names of the other VMs.
    :param replica: identifier of the replica.

    >>> request_share(10.0, "a", [], ["a", "b"], "r")
    RequestShare(rate=4.75, burst=12.0)
    """
    part = 1.0
    if favoured and others:
        part = FAVOURED_SHARE if own in favoured else 1.0 - FAVOURED_SHARE
    group = favoured if own in favoured else others
    burst = part * (BURST_SECONDS * limit + BURST_REQUESTS)
    members = max(1, min(len(group), math.floor(burst)))
    if members < len(group) and own not in rendezvous_select(replica, group, members):
        return RequestShare(0.0, 0.0)
    return RequestShare(part * USED_SHARE * limit / members, burst / members)


class RequestLimit:
    """A token bucket for this VM's requests to a replica that names a limit.

    All times are loop times in seconds.

    :param limit: requests per second that the replica accepts from all VMs.
    :param share: this VM's part of it.
    """

    def __init__(self, limit: float, share: RequestShare, now: float) -> None:
        self._limit = limit
        self._share = share
        # The replica has just had requests from before its limit was known.
        self._tokens = 0.0
        self._filled_at = now
        self._forget_at = 0.0
        self.renew(limit, share, now)

    @property
    def limit(self) -> float:
        """Requests per second that the replica accepts from all VMs."""
        return self._limit

    def renew(self, limit: float, share: RequestShare, now: float) -> None:
        """Record that the replica has named a limit."""
        self._fill(now)
        self._limit, self._share = limit, share
        self._tokens = min(self._tokens, share.burst)
        self._forget_at = now + random.uniform(MIN_MEMORY_SECONDS, MAX_MEMORY_SECONDS)

    def expired(self, now: float) -> bool:
        """Return whether the replica has not named its limit for so long that it may have ended."""
        return now >= self._forget_at

    def delay(self, priority: int, ahead: int, now: float) -> float:
        """Return the seconds until a request may be sent, infinity if none may be.

        :param priority: its rank, 0 the most urgent.
        :param ahead: number of requests to be sent before it.
        """
        self._fill(now)
        reserved = RESERVED_SHARE * max(0.0, self._share.burst - 1.0) if priority else 0.0
        lacking = ahead + 1.0 + reserved - self._tokens
        if lacking <= 0.0:
            return 0.0
        return lacking / self._share.rate if self._share.rate > 0.0 else math.inf

    def take(self, now: float) -> None:
        """Count a request that is sent."""
        self._fill(now)
        self._tokens -= 1.0

    def _fill(self, now: float) -> None:
        earned = self._share.rate * (now - self._filled_at)
        self._tokens = min(self._share.burst, self._tokens + earned)
        self._filled_at = now
