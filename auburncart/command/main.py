"""The ``auburncart`` command.

Exit codes: 0 success; 1 the answer is partial, the request was refused or its outcome is unknown;
2 the input or settings have faults; 3 no connection; 4 a daemon cancelled requests as it stopped.
"""

import sys

from cyclopts import App

from auburncart import __version__
from auburncart.exception import AuburncartError, InputError

__all__ = ["app", "main"]

EXIT_NOT_ANSWERED = 1
EXIT_BAD_INPUT = 2
EXIT_NOT_REACHED = 3

app = App(name="auburncart", help="A query tier over many shards.", version=__version__)
app.command(
    "auburncart.command.bench:app",
    name="bench",
    help="Measure the decisions on virtual time, and the cost of the control plane.",
)
app.command(
    "auburncart.command.check:check",
    name="check",
    help="Report all faults of a settings file or a table.",
)
app.command(
    "auburncart.command.demo:demo",
    name="demo",
    help="Run an entry VM with stand-ins in one process on loopback.",
)
app.command("auburncart.command.entry:entry", name="entry", help="Run the daemon on an entry VM.")
app.command(
    "auburncart.command.explain:explain",
    name="explain",
    help="Print the log events of one request in order.",
)
app.command(
    "auburncart.command.request:order",
    name="order",
    help="Send an order, which takes effect at most once.",
)
app.command(
    "auburncart.command.request:search",
    name="search",
    help="Send a search and print its answer with coverage.",
)
app.command(
    "auburncart.command.scenario:scenario",
    name="scenario",
    help="Run a scripted scenario on virtual time.",
)
app.command(
    "auburncart.command.standin:app",
    name="standin",
    help="Run a stand-in for the platform or an upstream.",
)
app.command(
    "auburncart.command.table:app",
    name="table",
    help="Show and change the table of weights and limits.",
)


def main() -> None:
    """Run the command and exit with its exit code."""
    try:
        sys.exit(app(result_action="return_value") or 0)
    except InputError as error:
        faults = getattr(error, "faults", ()) or (str(error),)
        for fault in faults:
            print(fault, file=sys.stderr)
        sys.exit(EXIT_BAD_INPUT)
    except AuburncartError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_NOT_REACHED)


if __name__ == "__main__":
    main()
