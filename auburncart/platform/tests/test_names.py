"""Names of the platform's wire formats appear in its own folder only."""

import pathlib
import re
import unittest

import auburncart

WIRE_NAMES = re.compile(
    r"X-Attempt-Id|X-Deadline-Remaining|X-Target-Instance|X-Server-Stamp|X-Part-Stamps"
    r"|X-Missing-Parts|X-Not-Executed|X-Instance-Id|pathPrefix|sloMs|coldLeftMs|configVersion"
    r"|maxConns|minShare|topK|staleOk|waitMs|atRev|hasMore|listenAddrs\b.*\[|AUBURNCART_SETTINGS",
    re.IGNORECASE,
)


class NamesTest(unittest.TestCase):
    def test_no_other_module_uses_them(self) -> None:
        root = pathlib.Path(auburncart.__file__).parent
        found = [
            f"{path.relative_to(root)}:{number}"
            for path in sorted(root.rglob("*.py"))
            if "platform" not in path.relative_to(root).parts and "tests" not in path.parts
            for number, line in enumerate(path.read_text().splitlines(), 1)
            if WIRE_NAMES.search(line)
        ]
        self.assertEqual(found, [])
