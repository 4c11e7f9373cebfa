"""A randomized soak test of the daemon: real processes, injected faults, checked guarantees.

``python -m auburncart.daemon.tests.soak --help`` explains how to run it.
"""
