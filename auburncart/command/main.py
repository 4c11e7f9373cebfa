"""The ``auburncart`` command.

Exit codes: 0 done; 1 the answer is partial, the request was refused or its outcome is unknown;
2 the input or settings have faults; 3 no connection; 4 a daemon ended and cut requests off.
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
app.command("auburncart.command.check:check", name="check")
app.command("auburncart.command.demo:demo", name="demo")
app.command("auburncart.command.entry:entry", name="entry")
app.command("auburncart.command.request:order", name="order")
app.command("auburncart.command.request:search", name="search")
app.command("auburncart.command.scenario:scenario", name="scenario")
app.command("auburncart.command.standin:app", name="standin")
app.command("auburncart.command.table:app", name="table")


def main() -> None:
    """Run the command line and exit with its code."""
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
