"""Checks that the names of code on the pages exist in the code.

A name is a word in backticks that looks like a Python file, a class or a function: ``gather.py``,
``protocol/peer.py``, ``ReplicaPool``, ``record_loss()``. Other words in backticks are not checked.
"""

import re
import subprocess
import sys
from pathlib import Path

SPAN = re.compile(r"`([^`\n]+)`")
BLOCK = re.compile(r"^```.*?^```$", re.DOTALL | re.MULTILINE)
FILE = re.compile(r"[\w./-]*\w\.py")
CLASS = re.compile(r"\b_?[A-Z][a-z0-9]+(?:[A-Z][a-z0-9]*)+\b")
FUNCTION = re.compile(r"(\w+)\(\)")
# Classes of libraries and words of logs and of the platform, which are no names of this code.
FOREIGN = frozenset(("LinesDropped", "OpenAPI"))


def unknown_names(page: Path, files: list[str], words: set[str]) -> list[str]:
    """Return the names on a page that no file of the code has."""
    unknown = []
    for span in SPAN.findall(BLOCK.sub("", page.read_text(encoding="utf-8"))):
        for path in FILE.findall(span):
            if not any(file == path or file.endswith(f"/{path}") for file in files):
                unknown.append(path)
        for name in [*CLASS.findall(span), *FUNCTION.findall(span)]:
            if name not in words and name not in FOREIGN:
                unknown.append(name)
    return unknown


files = subprocess.run(
    ["git", "ls-files", "*.py", "*.sh"], check=True, capture_output=True, text=True
).stdout.splitlines()
words = {word for file in files for word in re.findall(r"\w+", Path(file).read_text())}
pages = [*sorted(Path().glob("*.md")), *sorted(Path("docs").glob("*.md"))]
pages.remove(Path("CHANGES.md"))
pages.remove(Path("docs/GLOSSARY.md"))  # names the old words beside the new ones
failed = 0
for page in pages:
    for name in unknown_names(page, files, words):
        failed += 1
        sys.stdout.write(f"{page}: {name}: no such name in the code\n")
sys.stdout.write(f"names on {len(pages)} pages: {failed} unknown\n")
sys.exit(1 if failed else 0)
