"""Runs the daemon on the platform: ``python -m auburncart.daemon``.

The command line interface is not imported, to save memory on an entry VM.
"""

import signal
import sys

EXIT_BAD_SETTINGS = 2


def main() -> int:
    """Run the daemon; return its exit code."""
    # Without a handler SIGHUP ends the process, and the imports take a third of a second.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    import asyncio
    import os
    from pathlib import Path

    from auburncart.daemon.forward import run_forward
    from auburncart.exception import SettingsError
    from auburncart.platform.settings import SETTINGS_VARIABLE, load_platform_settings
    from auburncart.transport.clock import SuspendAwareLoop

    path = Path(os.environ.get(SETTINGS_VARIABLE, ""))
    try:
        with asyncio.Runner(loop_factory=SuspendAwareLoop) as runner:
            return runner.run(run_forward(lambda: load_platform_settings(path)))
    except SettingsError as error:
        sys.stderr.write("\n".join(error.faults) + "\n")
        return EXIT_BAD_SETTINGS


if __name__ == "__main__":
    sys.exit(main())
