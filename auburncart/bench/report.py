"""Formats the figures of runs as plain-text tables."""

from collections.abc import Sequence

from auburncart.bench.bounds import Bound
from auburncart.bench.fit import Slope
from auburncart.bench.measure import RunFigures

__all__ = ["bound_table", "run_table", "slope_table"]

HEAD = (
    f"{'policies':<10}{'rank':<12}{'offered':>8}{'refused':>8}{'p50 ms':>9}{'p99 ms':>9}"
    f"{'p99.9 ms':>9}{'in time':>9}{'complete':>9}{'coverage':>9}"
)


def run_table(runs: Sequence[RunFigures]) -> str:
    """Return a table of the runs of one case.

    :param runs: figures for each set of policies.
    """
    first = runs[0]
    lines = [
        f"site {first['site']}, case {first['case']}, seed {first['seed']}, "
        f"{first['seconds']:g} virtual seconds",
        HEAD,
    ]
    for run in runs:
        lines += _rank_lines(run)
    for run in runs:
        lines.append(_tier_line(run))
    return "\n".join(lines) + "\n"


def _rank_lines(run: RunFigures) -> list[str]:
    return [
        f"{run['policies']:<10}{rank:<12}{row['offered']:>8}{row['refused']:>8}"
        f"{row['p50_ms']:>9.1f}{row['p99_ms']:>9.1f}{row['p999_ms']:>9.1f}"
        f"{row['in_time']:>9.2%}{row['complete']:>9.2%}{row['mean_coverage']:>9.2%}"
        for rank, row in run["ranks"].items()
    ]


def _tier_line(run: RunFigures) -> str:
    sent = ", ".join(f"{reason} {count}" for reason, count in run["sent"].items())
    return (
        f"{run['policies']}: extra load {run['extra_load']:.2%} ({sent}); "
        f"{run['requests_per_search']:.1f} requests per search; "
        f"received per first attempt {run['received_per_needed']:.3f}; "
        f"peak connections {run['peak_connections']:.0%} of a limit, "
        f"{run['connection_breaches']} breaches; "
        f"{run['replicas_lost']} replicas crashed by a query; "
        f"{run['false_complete']} answers with incorrect coverage"
    )


def slope_table(slopes: Sequence[Slope]) -> str:
    """Return a table of slopes and the points to which they were fitted."""
    lines = []
    for slope in slopes:
        points = ", ".join(f"{point.size:g}: {point.value:,.1f}" for point in slope.points)
        lines += [
            f"{slope.name} ({slope.unit} by {slope.size_name})",
            f"    points  {points}",
            f"    line    {slope.intercept:,.1f} + {slope.slope:,.4g} x {slope.size_name}, "
            f"r^2 {slope.r_squared:.4f}",
        ]
    return "\n".join(lines) + "\n"


def bound_table(bounds: Sequence[Bound]) -> str:
    """Return a table of bounds and whether the measured values are within them."""
    lines = [
        f"{bound.name:<34}{bound.value:>16,.5g} of {bound.limit:>12,g} {bound.unit:<8}"
        f"{'kept' if bound.within_limit else 'EXCEEDED'}"
        for bound in bounds
    ]
    return "\n".join(lines) + "\n"
