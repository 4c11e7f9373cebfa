#!/bin/sh
# Creates .venv with the project and its tools unless it is up to date.
set -eu
cd "$(dirname "$0")/.."
stamp=$(sed -n '/^\[project\]/,/^\[tool/p' pyproject.toml | cksum)
if [ -f .venv/stamp ] && [ "$(cat .venv/stamp)" = "$stamp" ]; then
    exit 0
fi
python3 -m venv .venv
.venv/bin/pip install --quiet --disable-pip-version-check -e '.[test,plot]'
printf '%s\n' "$stamp" > .venv/stamp
