"""A query tier over many shards, for entry VMs that keep nothing.

The package has four layers, each of which imports only the ones below it:

- :mod:`auburncart.transport`: sockets, threads and servers.
- :mod:`auburncart.protocol`: the encoding of every message.
- :mod:`auburncart.coordination`: every decision, behind abstract base classes.
- :mod:`auburncart.state`: plain data.

:mod:`auburncart.daemon` and :mod:`auburncart.command` stand on top of them.
"""

from auburncart.exception import AuburncartError

__all__ = ["AuburncartError", "__version__"]

__version__ = "0.1.0"
