"""Checks the log of a test run: every test must pass except those listed in KNOWN-RED.txt.

A line of KNOWN-RED.txt that starts with ``test:`` names one test as in the log, for example
``test: auburncart.state.tests.test_table.TableTest.test_monotone``.
"""

import re
import sys
from pathlib import Path

FAILED = re.compile(r"^(?:FAIL|ERROR): (\S+)(?: \(([^)]+)\))?", re.MULTILINE)
RAN = re.compile(r"^Ran (\d+) tests?", re.MULTILINE)
OK = re.compile(r"^OK\b", re.MULTILINE)

log = Path(sys.argv[1]).read_text(encoding="utf-8", errors="replace")
known_file = Path(sys.argv[2])
lines = known_file.read_text(encoding="utf-8").splitlines() if known_file.exists() else []
known = {line.removeprefix("test:").strip() for line in lines if line.startswith("test:")}
failed = {test_id or name for name, test_id in FAILED.findall(log)}
ran = RAN.search(log)
for name in sorted(known):
    state = "known failure" if name in failed else "listed as a known failure but did not fail"
    sys.stdout.write(f"{name}: {state}\n")
unexpected = sorted(failed - known)
if ran is None or unexpected or (not failed and not OK.search(log)):
    sys.stdout.write(log)
    sys.exit(f"tests failed: {', '.join(unexpected) or 'the run did not finish'}")
total = int(ran.group(1))
if total == 0:
    sys.exit("no test ran")
sys.stdout.write(f"{total - len(failed)} passed, {len(failed)} failed\n")
