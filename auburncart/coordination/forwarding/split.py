"""Splitting the requests of a route among its targets by weight."""

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
        self._current_weights: dict[str, tuple[tuple[Target, ...], dict[str, float]]] = {}

    def pick(self, route: Route) -> str:
        """Return the service for the route's next request."""
        if len(route.targets) == 1:
            return route.targets[0].service
        targets, current_weights = self._current_weights.get(route.name, ((), {}))
        if targets != route.targets:
            current_weights = {target.service: 0.0 for target in route.targets}
            self._current_weights[route.name] = (route.targets, current_weights)
        for target in route.targets:
            current_weights[target.service] += target.weight
        best = max(current_weights, key=lambda service: current_weights[service])
        current_weights[best] -= sum(target.weight for target in route.targets)
        return best
