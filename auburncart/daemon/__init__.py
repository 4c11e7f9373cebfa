"""Thin daemons over the library."""
