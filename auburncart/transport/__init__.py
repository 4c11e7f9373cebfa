"""Sockets, threads and servers; each module carries the messages of one protocol module."""
