"""Straight lines through measured points."""

import statistics
from collections.abc import Sequence
from typing import NamedTuple

__all__ = ["Point", "Slope", "fit"]


class Point(NamedTuple):
    """A value measured at a size."""

    size: float
    value: float


class Slope(NamedTuple):
    """A line through points of one measurement.

    :param name: what was measured.
    :param by: what the size counts.
    :param unit: unit of the values.
    :param slope: value for each one of the size.
    :param fixed: value at size 0.
    :param r_squared: share of the variance that the line explains, from 0 to 1.
    """

    name: str
    by: str
    unit: str
    points: tuple[Point, ...]
    slope: float
    fixed: float
    r_squared: float

    def at(self, size: float) -> float:
        """Return the line's value at a size."""
        return self.fixed + self.slope * size


def fit(name: str, by: str, unit: str, points: Sequence[Point]) -> Slope:
    """Fit a line by least squares.

    :param points: at least three points of different sizes.
    :raises ValueError: there are fewer.

    >>> fit("cost", "peers", "s", [Point(1, 3.0), Point(2, 5.0), Point(3, 7.0)]).at(10)
    21.0
    """
    sizes = [point.size for point in points]
    values = [point.value for point in points]
    if len(set(sizes)) < 3:
        raise ValueError(f"{name}: a slope needs three sizes, not {len(set(sizes))}")
    line = statistics.linear_regression(sizes, values)
    r_squared = 1.0
    if len(set(values)) > 1:
        r_squared = statistics.correlation(sizes, values) ** 2
    return Slope(name, by, unit, tuple(points), line.slope, line.intercept, r_squared)
