"""A query tier over many shards, for stateless entry VMs.

The package has four layers, each of which imports only from the ones below it:

- :mod:`auburncart.transport`: sockets, threads and servers.
- :mod:`auburncart.protocol`: the encoding of all messages.
- :mod:`auburncart.coordination`: all decisions, behind abstract base classes.
- :mod:`auburncart.state`: plain data types.

:mod:`auburncart.daemon` and :mod:`auburncart.command` are built on top of them.
"""

from auburncart.exception import AuburncartError

__all__ = ["AuburncartError", "__version__"]

__version__ = "0.1.0"
