"""Interface to the structured log of the forwarding code."""

from abc import ABC, abstractmethod

from auburncart.state.event import Event

__all__ = ["Journal", "NullJournal"]


class Journal(ABC):
    """Records events; it must not block."""

    @abstractmethod
    def record(self, event: Event) -> None:
        """Record one event."""


class NullJournal(Journal):
    """Ignores every event."""

    def record(self, event: Event) -> None:
        """Ignore the event."""
