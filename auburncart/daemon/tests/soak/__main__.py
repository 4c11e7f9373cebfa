"""Runs a range of seeds: ``python -m auburncart.daemon.tests.soak 1 50``.

Exit code 1 if a guarantee was violated. The logs stay in the folder of each seed.
"""

import argparse
import asyncio
import sys
from pathlib import Path

from auburncart.daemon.tests.soak.run import soak


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m auburncart.daemon.tests.soak")
    parser.add_argument("first", type=int, help="first seed")
    parser.add_argument("count", type=int, nargs="?", default=1, help="number of seeds")
    parser.add_argument("--seconds", type=float, default=12.0, help="in which faults begin")
    parser.add_argument("--vms", type=int, default=4, help="number of VMs")
    parser.add_argument("--folder", type=Path, default=Path("target/soak"), help="for the logs")
    options = parser.parse_args()
    failed = 0
    for seed in range(options.first, options.first + options.count):
        folder = options.folder / f"seed-{seed}"
        folder.mkdir(parents=True, exist_ok=True)
        for old in folder.iterdir():
            old.unlink()
        result = asyncio.run(soak(seed, options.seconds, options.vms, folder))
        failed += bool(result.violations)
        sys.stdout.write(
            f"seed {seed}: {result.served} of {result.requests} served, {result.runs} runs, "
            f"{len(result.faults)} faults, {result.late_ticks} lags, "
            f"{len(result.violations)} broken\n"
        )
        for line in result.violations[:20]:
            sys.stdout.write(f"  {line}\n")
        (folder / "faults.txt").write_text("\n".join([*result.faults, *result.violations]) + "\n")
        sys.stdout.flush()
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
