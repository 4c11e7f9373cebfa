"""Linear regression over measured points."""

import statistics
from collections.abc import Sequence
from typing import NamedTuple

__all__ = ["Point", "Slope", "fit"]


class Point(NamedTuple):
    """A value measured at a size."""

    size: float
    value: float


class Slope(NamedTuple):
    """A regression line through the points of one measurement.

    :param name: what was measured.
    :param size_name: what the size counts.
    :param unit: unit of the values.
    :param slope: increase of the value per unit of size.
    :param intercept: value at size 0.
    :param r_squared: share of the variance that the line explains, from 0 to 1.
    """

    name: str
    size_name: str
    unit: str
    points: tuple[Point, ...]
    slope: float
    intercept: float
    r_squared: float

    def value_at(self, size: float) -> float:
        """Return the value of the line at a size."""
        return self.intercept + self.slope * size


def fit(name: str, size_name: str, unit: str, points: Sequence[Point]) -> Slope:
    """Return the least-squares line through points.

    :param points: points of at least three different sizes.
    :raises ValueError: there are fewer than three sizes.

    >>> fit("cost", "peers", "s", [Point(1, 3.0), Point(2, 5.0), Point(3, 7.0)]).value_at(10)
    21.0
    """
    sizes = [point.size for point in points]
    values = [point.value for point in points]
    if len(set(sizes)) < 3:
        raise ValueError(f"{name}: a regression needs three sizes, not {len(set(sizes))}")
    line = statistics.linear_regression(sizes, values)
    r_squared = 1.0
    if len(set(values)) > 1:
        r_squared = statistics.correlation(sizes, values) ** 2
    return Slope(name, size_name, unit, tuple(points), line.slope, line.intercept, r_squared)
