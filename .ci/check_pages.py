"""Runs every code block that a page marks with ``<!-- run -->``; fails if any of them fails.

``sh`` runs the block after the mark at the root of the repository, with a timeout of one minute.
"""

import re
import subprocess
import sys
from pathlib import Path

BLOCK = re.compile(r"<!-- run -->\n```(?:sh|console)\n(.*?)```", re.DOTALL)
TIMEOUT_SECONDS = 60

failed = 0
count = 0
for page in [Path("README.md"), *sorted(Path("docs").glob("*.md"))]:
    for block in BLOCK.findall(page.read_text(encoding="utf-8")):
        count += 1
        result = subprocess.run(
            ["sh", "-eu", "-c", block],
            capture_output=True,
            text=True,
            timeout=TIMEOUT_SECONDS,
            check=False,
        )
        if result.returncode != 0:
            failed += 1
            sys.stdout.write(f"{page}: exit {result.returncode}\n{block}{result.stderr}\n")
sys.stdout.write(f"pages: {count} blocks run, {failed} failed\n")
sys.exit(1 if failed else 0)
