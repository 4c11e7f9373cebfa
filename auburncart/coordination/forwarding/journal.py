"""Where forwarding records what it decides and what it believes."""

from abc import ABC, abstractmethod

from auburncart.state.event import Event

__all__ = ["Journal", "NullJournal"]


class Journal(ABC):
    """Takes typed events; it must not wait."""

    @abstractmethod
    def record(self, event: Event) -> None:
        """Take in one event."""


class NullJournal(Journal):
    """Ignores every event."""

    def record(self, event: Event) -> None:
        """Ignore the event."""
