"""Runs every command that a page marks with ``<!-- run -->`` and fails if one of them does.

The block after the mark is run by ``sh`` at the root of the repository, within a minute.
"""

import re
import subprocess
import sys
from pathlib import Path

BLOCK = re.compile(r"<!-- run -->\n```(?:sh|console)\n(.*?)```", re.DOTALL)
LIMIT_SECONDS = 60

failed = 0
count = 0
for page in [Path("README.md"), *sorted(Path("docs").glob("*.md"))]:
    for block in BLOCK.findall(page.read_text(encoding="utf-8")):
        count += 1
        ended = subprocess.run(
            ["sh", "-eu", "-c", block],
            capture_output=True,
            text=True,
            timeout=LIMIT_SECONDS,
            check=False,
        )
        if ended.returncode != 0:
            failed += 1
            sys.stdout.write(f"{page}: exit {ended.returncode}\n{block}{ended.stderr}\n")
sys.stdout.write(f"pages: {count} blocks run, {failed} failed\n")
sys.exit(1 if failed else 0)
