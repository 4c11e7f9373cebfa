"""Every decision of the tier, behind abstract base classes and without codec or socket.

Names are imported from their modules, so that a daemon loads only the decisions that it makes.
"""
