"""Translation between the wire formats of the users' platform and the types of this package.

This folder only maps names, formats and units: it has no decisions, retries, clocks or state. Names
of the platform's wire formats appear nowhere else.
"""
