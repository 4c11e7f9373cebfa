"""Thin daemons over the library."""

from auburncart.daemon.entry import Entry, run_entry

__all__ = ["Entry", "run_entry"]
