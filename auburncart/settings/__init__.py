"""Settings of the daemons, checked in full before anything starts."""

from auburncart.settings.entry import EntrySettings, load_entry_settings

__all__ = ["EntrySettings", "load_entry_settings"]
