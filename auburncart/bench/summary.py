"""Formats runs as a Markdown table and compares each with the calm run of the same policies."""

from collections.abc import Sequence

from auburncart.bench.measure import RunFigures

__all__ = ["summary_table"]

HEAD = (
    "| case | policies | urgent p50 / p99 ms | p99 over calm | urgent in time / complete "
    "| normal in time / complete | background in time / complete | extra load "
    "| breaches | crashed | incorrect coverage |\n"
    "|---|---|---|---|---|---|---|---|---|---|---|"
)


def summary_table(runs: Sequence[RunFigures]) -> str:
    """Return a Markdown table with one row for each run, in the order given.

    :param runs: runs of one site; those of the case ``calm`` are the basis of comparison.
    """
    calm = {
        run["policies"]: run["ranks"]["urgent"]["p99_ms"] for run in runs if run["case"] == "calm"
    }
    return "\n".join([HEAD, *(_row(run, calm.get(run["policies"], 0.0)) for run in runs)]) + "\n"


def _row(run: RunFigures, calm_ms: float) -> str:
    urgent = run["ranks"]["urgent"]
    cells = [
        run["case"],
        run["policies"],
        f"{urgent['p50_ms']:.0f} / {urgent['p99_ms']:.0f}",
        f"{urgent['p99_ms'] / calm_ms:.2f}" if calm_ms else "",
        *(_shares(run, rank) for rank in run["ranks"]),
        f"{run['extra_load']:.1%}",
        str(run["connection_breaches"]),
        str(run["replicas_lost"]),
        str(run["false_complete"]),
    ]
    return f"| {' | '.join(cells)} |"


def _shares(run: RunFigures, rank: str) -> str:
    row = run["ranks"][rank]
    return f"{row['in_time']:.1%} / {row['complete']:.1%}"
