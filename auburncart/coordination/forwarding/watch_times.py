"""How long watches may wait, so that a lost reply of the store is noticed in time.

A reply can be lost without a sign: the connection stays open and nothing follows on it. What
changes meanwhile has to be known within a bound after the disturbance, also on a VM that learns it
from another one. A watch that began just before the end of the disturbance is given up last, so its
wait, its timeout and the call that replaces it have to fit into the bound together.
"""

from typing import NamedTuple

__all__ = ["WatchTimes", "watch_times"]

MIN_BOUND_SECONDS = 1.0  # below it watches would be too frequent
MAX_WAIT_SECONDS = 5.0
MAX_CALL_SECONDS = 2.0  # the store replies in milliseconds, or some hundred when it is slow
# Of the bound after a disturbance: for a reply that is due, and for all after its timeout.
REPLY_SHARE = 0.25
RECOVERY_SHARE = 0.125
CALL_SHARE = 0.5
DELAY_SHARE = 0.25
MAX_DELAY_SECONDS = 1.0  # a store that is back must be noticed within two seconds
# Of the bound on a change: VMs rely on another one for less than the bound, and notice within one
# question that it no longer is fresh.
RELAYED_WAIT_SHARE = 0.5
MAX_AGE_SHARE = 0.7
QUESTION_SHARE = 0.2
MAX_QUESTION_SECONDS = 1.0


class WatchTimes(NamedTuple):
    """Durations in seconds, derived from the bounds of the deployment.

    :param wait: for which the store may hold a watch without a change.
    :param reply: after the wait, when a reply counts as lost.
    :param call: after which a call that does not wait counts as lost.
    :param max_delay: between two calls that fail.
    :param relayed_wait: as ``wait``, where some VMs watch the store for others.
    :param max_age: since the store's last confirmation, for which other VMs may rely on this one.
    :param question: for which such a VM may hold the question of another one.
    """

    wait: float
    reply: float
    call: float
    max_delay: float
    relayed_wait: float
    max_age: float
    question: float


def watch_times(stable_seconds: float, apply_seconds: float) -> WatchTimes:
    """Return the times with which all changes are known within both bounds.

    :param stable_seconds: after a disturbance, until changes made during it must be known.
    :param apply_seconds: after a change, until a VM without a disturbance must know it.

    >>> times = watch_times(4.0, 3.0)
    >>> times.wait, times.reply, times.call
    (2.5, 1.0, 2.0)
    >>> times = watch_times(6.0, 5.0)
    >>> times.wait, times.relayed_wait, times.max_age, times.question
    (3.75, 2.5, 3.5, 1.0)
    """
    stable_seconds = max(MIN_BOUND_SECONDS, stable_seconds)
    apply_seconds = max(MIN_BOUND_SECONDS, apply_seconds)
    reply = min(MAX_CALL_SECONDS, REPLY_SHARE * stable_seconds)
    wait = min(MAX_WAIT_SECONDS, stable_seconds * (1.0 - RECOVERY_SHARE) - reply)
    return WatchTimes(
        wait,
        reply,
        min(MAX_CALL_SECONDS, CALL_SHARE * stable_seconds),
        min(MAX_DELAY_SECONDS, DELAY_SHARE * stable_seconds),
        min(wait, RELAYED_WAIT_SHARE * apply_seconds),
        MAX_AGE_SHARE * apply_seconds,
        min(MAX_QUESTION_SECONDS, QUESTION_SHARE * apply_seconds),
    )
