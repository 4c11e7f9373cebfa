"""A randomized soak of the daemon: real processes, faults from outside, promises checked.

``python -m auburncart.daemon.tests.soak --help`` tells how to run it.
"""
