#!/bin/sh
# The stand-ins are Python and need no build; this checks that all modules of the cases compile.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:. python3 -c "
import ast, pathlib
for path in pathlib.Path('review').rglob('*.py'):
    ast.parse(path.read_text(encoding='utf-8'), str(path))
import review.standins.caller, review.standins.case, review.standins.replica, review.standins.store
"
