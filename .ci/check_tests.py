"""Judges a log of the test run: every test must pass but those that KNOWN-RED.txt names.

A line of KNOWN-RED.txt that begins with ``test:`` names one test as the log does, for instance
``test: auburncart.state.tests.test_table.TableTest.test_monotone``.
"""

import re
import sys
from pathlib import Path

FAILED = re.compile(r"^(?:FAIL|ERROR): (\S+)(?: \(([^)]+)\))?", re.MULTILINE)
RAN = re.compile(r"^Ran (\d+) tests?", re.MULTILINE)
OK = re.compile(r"^OK\b", re.MULTILINE)

log = Path(sys.argv[1]).read_text(encoding="utf-8", errors="replace")
red_file = Path(sys.argv[2])
lines = red_file.read_text(encoding="utf-8").splitlines() if red_file.exists() else []
known = {line.removeprefix("test:").strip() for line in lines if line.startswith("test:")}
failed = {where or name for name, where in FAILED.findall(log)}
ran = RAN.search(log)
for name in sorted(known):
    state = "red, known" if name in failed else "listed as red but not failed in this run"
    sys.stdout.write(f"{name}: {state}\n")
new = sorted(failed - known)
if ran is None or new or (not failed and not OK.search(log)):
    sys.stdout.write(log)
    sys.exit(f"tests failed: {', '.join(new) or 'the run did not end'}")
total = int(ran.group(1))
if total == 0:
    sys.exit("no test ran")
sys.stdout.write(f"{total - len(failed)} passed, {len(failed)} failed\n")
