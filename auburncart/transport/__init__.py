"""Sockets, threads and servers; each module transports the messages of one protocol module."""
