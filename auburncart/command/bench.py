"""``auburncart bench``: measurements."""

import asyncio
import sys
from pathlib import Path
from typing import Literal

import msgspec
from cyclopts import App

from auburncart.bench.bounds import control_bounds
from auburncart.bench.cases import CASES
from auburncart.bench.concurrency import measure_loop, measure_threads
from auburncart.bench.control import decision_slopes, object_slopes
from auburncart.bench.load import Stream, run_load
from auburncart.bench.loopback import control_cost, transport_slope
from auburncart.bench.measure import RunFigures
from auburncart.bench.peers import peer_slopes
from auburncart.bench.plot import plot_runs
from auburncart.bench.report import bound_table, run_table, slope_table
from auburncart.bench.run import run_case
from auburncart.bench.site import load_site
from auburncart.bench.summary import summary_table
from auburncart.exception import InputError

__all__ = ["app"]

BOTH_POLICIES = ("baseline", "default")
DEFAULT_SECONDS = 10.0
EXIT_EXCEEDED = 1

app = App(name="bench", help="Measure the decisions and the cost of the tier.")


@app.command
def run(
    *,
    site: str = "ladera",
    case: str = "calm",
    policies: str = "baseline",
    seed: int = 1,
    seconds: float = DEFAULT_SECONDS,
    json: bool = False,
    placement: Literal["spread", "each"] | None = None,
    plot: Path | None = None,
) -> int:
    """Run one case on virtual time over the real decisions, and print its figures.

    :param site: ``ladera``, ``leidslurett`` or a file of the same form.
    :param case: name of a case, or several joined by ``+``; ``bench cases`` lists them.
    :param policies: ``baseline``, ``default``, ``alone`` (a daemon without peers), or ``both`` for
        baseline and default.
    :param seed: seed of arrivals, service times and faults; the same seed gives the same figures.
    :param seconds: measured time in virtual seconds, after one second of warm-up.
    :param json: print one JSON array instead of the table.
    :param placement: overrides the placement of replicas in the site's file: ``spread`` over the
        data centres, or the same number in ``each``.
    :param plot: file for a plot of latency by rank and coverage over time, such as ``run.svg``.
    """
    loaded_site = load_site(site)
    if placement is not None:
        loaded_site = loaded_site._replace(placement=placement)
    policy_names = BOTH_POLICIES if policies == "both" else (policies,)
    results = [run_case(loaded_site, case, name, seed, seconds) for name in policy_names]
    if plot is not None:
        plot_runs(results, plot)
    _print_figures([result.figures for result in results], json)
    return 0


@app.command
def concurrency(
    *, to: str, shard: str, connections: int = 8, count: int = 1000, repeat: int = 3
) -> int:
    """Compare one event loop with a thread for each connection to threads alone.

    :param to: ``IP:port`` of an upstream on loopback, such as ``auburncart standin upstream``.
    :param shard: a shard that the upstream holds.
    :param connections: number of persistent connections.
    :param count: number of sub-queries in a run.
    :param repeat: number of runs of each variant; the variants alternate.
    """
    for _ in range(repeat):
        for measure in (measure_loop, measure_threads):
            cost = measure(to, shard, connections, count)
            figures = f"{cost.processor_ms:.3f} ms processor time, {cost.wall_ms:.3f} ms each"
            print(f"{cost.variant:<8} {cost.sub_queries} sub-queries: {figures}")
    return 0


@app.command
def load(stream: list[str], *, seconds: float = 5.0, seed: int = 1, json: bool = False) -> int:
    """Send searches to running entry VMs at given rates and print outcomes and latencies.

    :param stream: ``IP:port,CUSTOMER,KIND,RATE,DEADLINE_MS``, one for each kind of work.
    :param seconds: time during which requests arrive.
    :param seed: seed of the arrival times.
    :param json: print one JSON array instead of the lines.
    """
    figures = asyncio.run(run_load([_parse_stream(text) for text in stream], seconds, seed))
    if json:
        sys.stdout.write(msgspec.json.encode(figures).decode() + "\n")
        return 0
    for row in figures:
        times = f"p50 {row.p50_ms:.1f}, p99 {row.p99_ms:.1f}, longest {row.max_ms:.1f} ms"
        print(f"{row.stream.kind}: {row.offered} offered, {row.in_time:.2%} in time; {times}")
        print(f"  {row.outcomes}")
    return 0


def _parse_stream(text: str) -> Stream:
    parts = text.split(",")
    try:
        address, customer, kind, rate, deadline_ms = parts
        return Stream(address, customer, kind, float(rate), int(deadline_ms))
    except ValueError as error:
        expected = "expected IP:port,CUSTOMER,KIND,RATE,DEADLINE_MS"
        raise InputError(f"stream {text!r}: {expected}", step="parse") from error


@app.command
def cases() -> int:
    """List the cases with a one-line description."""
    for name, case in CASES.items():
        print(f"{name:<28}{(type(case).__doc__ or '').splitlines()[0]}")
    return 0


@app.command
def summary(*files: Path) -> int:
    """Compare runs in a Markdown table.

    :param files: outputs of ``bench run --json``, including those of the case ``calm``.
    """
    runs = [figures for file in files for figures in _read_figures(file)]
    sys.stdout.write(summary_table(runs))
    return 0


@app.command
def control(*, check: bool = False, json: bool = False) -> int:
    """Measure how a daemon's cost grows with its size, and compare its idle cost with the bounds.

    Exit code 1 with ``--check`` if a bound is exceeded.

    :param check: measure only the bounds, and report an exceeded bound by the exit code.
    :param json: print one JSON object instead of the tables.
    """
    slopes = (
        [] if check else [*object_slopes(), *decision_slopes(), *peer_slopes(), transport_slope()]
    )
    cost = control_cost()
    bounds = control_bounds(cost)
    if json:
        report = {"slopes": slopes, "control": cost, "bounds": bounds}
        sys.stdout.write(msgspec.json.encode(report).decode() + "\n")
    else:
        sys.stdout.write(slope_table(slopes) + bound_table(bounds))
    exceeded = any(not bound.within_limit for bound in bounds)
    return EXIT_EXCEEDED if check and exceeded else 0


def _read_figures(file: Path) -> list[RunFigures]:
    try:
        return msgspec.json.decode(file.read_bytes(), type=list[RunFigures])
    except (OSError, msgspec.DecodeError) as error:
        raise InputError(f"{file}: {error}", step="bench") from error


def _print_figures(figures: list[RunFigures], json: bool) -> None:
    if json:
        sys.stdout.write(msgspec.json.encode(figures).decode() + "\n")
    else:
        sys.stdout.write(run_table(figures))
