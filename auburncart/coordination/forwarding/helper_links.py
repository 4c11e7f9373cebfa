"""Links to the VMs that query shards for this one."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import AsyncIterator, Callable, Set

from auburncart.state.entryvm import EntryVm
from auburncart.state.merge import MergeAnswer, MergeQuestion

__all__ = ["HelperLinks", "MergeLink"]

DECLINED_PAUSE_SECONDS = 1.0  # a VM that declined a question is leaving or has lost the store
INITIAL_SILENCE_PAUSE_SECONDS = 1.0  # for a VM that is slow; a link that is dead closes sooner
MAX_SILENCE_PAUSE_SECONDS = 8.0  # for a VM that is slow each time
OPENING_SECONDS = 1.0  # after which a link that is not open yet counts as failing


class MergeLink(ABC):
    """Link to one VM, which reconnects by itself."""

    @property
    @abstractmethod
    def usable(self) -> bool:
        """Whether the VM can be asked now."""

    @property
    @abstractmethod
    def declining(self) -> bool:
        """Whether the VM has said that it declines all questions for now."""

    @property
    @abstractmethod
    def round_trip(self) -> float:
        """Round trip to the VM in seconds, as measured on this link."""

    @property
    @abstractmethod
    def outstanding(self) -> int:
        """Number of questions in flight."""

    @abstractmethod
    def ask(
        self, question: MergeQuestion, ping_after: float, may_give_up: Callable[[], bool]
    ) -> AsyncIterator[MergeAnswer]:
        """Ask for some shards; closing the iterator cancels the question.

        :param ping_after: seconds without an answer after which the VM must prove to be alive.
        :param may_give_up: returns whether a VM that is slow to accept the question may be given
            up.
        :raises LinkError: there are no more answers; its step is ``connect`` if nothing was sent.
        """

    @abstractmethod
    def close(self) -> None:
        """Close the link."""


class HelperLinks:
    """Keeps links to some VMs, and avoids those that cannot answer now.

    :param open_link: opens a link to a VM.
    """

    def __init__(self, open_link: Callable[[EntryVm], MergeLink]) -> None:
        self._open_link = open_link
        self._links: dict[EntryVm, MergeLink] = {}
        self._kept: Set[EntryVm] = frozenset()
        self._unusable_since: dict[EntryVm, float] = {}
        self._paused_until: dict[EntryVm, float] = {}
        self._silence_pauses: dict[EntryVm, float] = {}

    def keep(self, vms: Set[EntryVm]) -> None:
        """Open links to new VMs, and close those to all others.

        A link with a question in flight is closed by a later call: closing it would end the work
        of the VM, which would be started again elsewhere.
        """
        for vm in sorted(vms - self._links.keys()):
            self._links[vm] = self._open_link(vm)
            self._unusable_since[vm] = _now()
        self._kept = vms
        for vm in self._links.keys() - vms:
            if self._links[vm].outstanding:
                continue
            self._links.pop(vm).close()
            self._unusable_since.pop(vm, None)
            self._paused_until.pop(vm, None)
            self._silence_pauses.pop(vm, None)

    def ready(self, vm: EntryVm) -> MergeLink | None:
        """Return the link to a VM if it can be asked now."""
        link = self._links.get(vm) if vm in self._kept else None
        if link is None or not link.usable or link.declining:
            return None
        return link if self._paused_until.get(vm, 0.0) <= _now() else None

    def failing(self, vm: EntryVm) -> bool:
        """Return whether a VM is avoided, or has not been reached for a while."""
        link = self._links.get(vm)
        if link is None:
            return False
        if link.usable:
            self._unusable_since.pop(vm, None)
            return self.ready(vm) is None
        since = self._unusable_since.setdefault(vm, _now())
        return _now() - since >= OPENING_SECONDS

    def record_declined(self, vm: EntryVm) -> None:
        """Record that a VM declined a question."""
        self._paused_until[vm] = _now() + DECLINED_PAUSE_SECONDS

    def record_silent(self, vm: EntryVm) -> None:
        """Record that a VM did not respond in time."""
        pause = self._silence_pauses.get(vm, INITIAL_SILENCE_PAUSE_SECONDS)
        self._paused_until[vm] = _now() + pause
        self._silence_pauses[vm] = min(MAX_SILENCE_PAUSE_SECONDS, 2.0 * pause)

    def record_answer(self, vm: EntryVm) -> None:
        """Record that a VM answers questions."""
        self._silence_pauses.pop(vm, None)

    def close(self) -> None:
        """Close all links."""
        for link in self._links.values():
            link.close()


def _now() -> float:
    return asyncio.get_running_loop().time()
