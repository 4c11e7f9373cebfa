"""Plots runs: latency by rank and coverage over time."""

from collections.abc import Sequence
from pathlib import Path
from typing import Any

from auburncart.bench.measure import Outcome
from auburncart.bench.run import RunResult
from auburncart.exception import InputError
from auburncart.state.work import Rank

__all__ = ["coverage_over_time", "plot_runs"]

COLOURS = {Rank.URGENT: "tab:red", Rank.NORMAL: "tab:blue", Rank.BACKGROUND: "tab:grey"}
WINDOW_SECONDS = 0.5
WIDTH_INCHES = 6.0
HEIGHT_INCHES = 7.0


def plot_runs(results: Sequence[RunResult], file: Path) -> None:
    """Plot latency by rank and coverage over time, with one column for each run.

    :param results: runs of one case.
    :param file: output file; its suffix selects the format.
    :raises InputError: matplotlib is not installed, or the file cannot be written.
    """
    figure = _new_figure(len(results))
    axes = figure.subplots(2, len(results), squeeze=False, sharex=True, sharey="row")
    for column, result in enumerate(results):
        _draw_latency(axes[0][column], result)
        _draw_coverage(axes[1][column], result)
    axes[0][0].set_ylabel("latency of answers (ms)")
    axes[1][0].set_ylabel("mean coverage of searches offered")
    try:
        figure.savefig(file)
    except (OSError, ValueError) as error:
        raise InputError(f"{file}: {error}", step="plot") from error


def coverage_over_time(outcomes: Sequence[Outcome], rank: Rank) -> list[tuple[float, float]]:
    """Return the mean coverage of a rank by arrival window; a refusal counts as 0.

    :return: pairs of the window's start in seconds and the mean coverage from 0 to 1.
    """
    windows: dict[int, list[float]] = {}
    for outcome in outcomes:
        if outcome.rank is rank:
            windows.setdefault(int(outcome.arrival / WINDOW_SECONDS), []).append(outcome.coverage)
    return [
        (number * WINDOW_SECONDS, sum(shares) / len(shares))
        for number, shares in sorted(windows.items())
    ]


def _new_figure(columns: int) -> Any:
    try:
        from matplotlib.figure import Figure
    except ImportError as error:
        raise InputError(
            "a plot needs the package matplotlib (optional dependencies 'plot')", step="plot"
        ) from error
    return Figure(figsize=(WIDTH_INCHES * columns, HEIGHT_INCHES), layout="constrained")


def _draw_latency(axes: Any, result: RunResult) -> None:
    figures = result.figures
    axes.set_title(f"{figures['site']}, {figures['case']}, {figures['policies']}")
    axes.set_yscale("log")
    for rank, colour in COLOURS.items():
        points = [
            (outcome.arrival, outcome.seconds * 1000)
            for outcome in result.outcomes
            if outcome.rank is rank and outcome.answer is not None
        ]
        axes.scatter(*_columns(points), s=4, color=colour, label=rank.name.lower())
    axes.legend(loc="upper right")


def _draw_coverage(axes: Any, result: RunResult) -> None:
    for rank, colour in COLOURS.items():
        points = coverage_over_time(result.outcomes, rank)
        axes.plot(*_columns(points), color=colour, drawstyle="steps-post")
    axes.set_ylim(-0.02, 1.02)
    axes.set_xlabel("arrival (virtual seconds)")


def _columns(points: list[tuple[float, float]]) -> tuple[list[float], list[float]]:
    return [x for x, _ in points], [y for _, y in points]
