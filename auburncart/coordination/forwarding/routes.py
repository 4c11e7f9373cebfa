"""Lookup of a request's route by its host and the longest matching prefix of its path."""

from auburncart.state.configuration import Configuration, Route

__all__ = ["RouteTable"]


class RouteTable:
    """The routes of one version of the configuration, indexed by host and prefix.

    :param configuration: the version.
    """

    def __init__(self, configuration: Configuration) -> None:
        self._configuration = configuration
        self._hosts: dict[str, dict[str, Route]] = {}
        self._shards = frozenset(shard for route in configuration.routes for shard in route.shards)
        for route in configuration.routes:
            self._hosts.setdefault(route.host, {})[route.prefix] = route

    @property
    def configuration(self) -> Configuration:
        """The configuration that the routes belong to."""
        return self._configuration

    @property
    def shards(self) -> frozenset[str]:
        """Names of all services that are shards of a search route."""
        return self._shards

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path, or None.

        >>> from auburncart.state.configuration import CallerLimits
        >>> short = Route("s", "h", "/a/", True, 1.0, 0.1, 0, 2, ())
        >>> table = RouteTable(Configuration(1, (short,), {}, CallerLimits()))
        >>> table.match("h", "/a/b/c").name, table.match("h", "/ab/")
        ('s', None)
        """
        prefixes = self._hosts.get(host)
        if not prefixes:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None
