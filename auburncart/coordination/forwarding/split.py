"""Splitting a route's requests among its targets in proportion to their weights."""

from auburncart.state.configuration import Route, Target

__all__ = ["WeightedSplit"]


class WeightedSplit:
    """Smooth weighted round robin: each target's share is exact over every round.

    >>> from auburncart.state.configuration import Route, Target
    >>> targets = (Target("a", 3.0), Target("b", 1.0))
    >>> route = Route("r", "h", "/", True, 1.0, 0.1, 0, 2, targets)
    >>> split = WeightedSplit()
    >>> [split.pick(route) for _ in range(4)]
    ['a', 'a', 'b', 'a']
    """

    def __init__(self) -> None:
        self._credit: dict[str, tuple[tuple[Target, ...], dict[str, float]]] = {}

    def pick(self, route: Route) -> str:
        """Return the service that takes the route's next request."""
        if len(route.targets) == 1:
            return route.targets[0].service
        targets, credit = self._credit.get(route.name, ((), {}))
        if targets != route.targets:
            credit = {target.service: 0.0 for target in route.targets}
            self._credit[route.name] = (route.targets, credit)
        for target in route.targets:
            credit[target.service] += target.weight
        best = max(credit, key=lambda service: credit[service])
        credit[best] -= sum(target.weight for target in route.targets)
        return best
