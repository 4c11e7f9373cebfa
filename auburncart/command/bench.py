"""``auburncart bench``: measurements."""

import sys

import msgspec
from cyclopts import App

from auburncart.bench.cases import CASES
from auburncart.bench.measure import RunFigures
from auburncart.bench.report import run_table
from auburncart.bench.run import run_case
from auburncart.bench.site import load_site
from auburncart.bench.tier import POLICIES

__all__ = ["app"]

DEFAULT_SECONDS = 10.0

app = App(name="bench", help="Measure the decisions of the tier.")


@app.command
def run(
    *,
    site: str = "ladera",
    case: str = "calm",
    policies: str = "baseline",
    seed: int = 1,
    seconds: float = DEFAULT_SECONDS,
    json: bool = False,
) -> int:
    """Run one case on virtual time over the real decisions, and print its figures.

    :param site: ``ladera``, ``leidslurett`` or a file of the same form.
    :param case: name of a case, or several joined by ``+``; ``bench cases`` lists them.
    :param policies: a set of policies, or ``both`` for all of them one below the other.
    :param seed: seed of arrivals, service times and faults; the same seed gives the same figures.
    :param seconds: measured time in virtual seconds, after one second of warm-up.
    :param json: print one JSON array in place of the table.
    """
    loaded = load_site(site)
    names = tuple(POLICIES) if policies == "both" else (policies,)
    results = [run_case(loaded, case, name, seed, seconds) for name in names]
    _print([result.figures for result in results], json)
    return 0


@app.command
def cases() -> int:
    """List the cases."""
    for name, case in CASES.items():
        print(f"{name:<28}{(type(case).__doc__ or '').splitlines()[0]}")
    return 0


def _print(figures: list[RunFigures], json: bool) -> None:
    if json:
        sys.stdout.write(msgspec.json.encode(figures).decode() + "\n")
    else:
        sys.stdout.write(run_table(figures))
