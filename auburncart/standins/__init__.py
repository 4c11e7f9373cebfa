"""Stand-ins for the platform and for upstreams, for tests and demonstrations.

The daemon never imports them.
"""
