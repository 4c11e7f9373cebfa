"""Decisions of an entry VM, behind abstract base classes; no codecs and no sockets.

Import names from their modules, so that a daemon loads only the decisions that it makes.
"""
