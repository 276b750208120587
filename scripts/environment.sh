#!/bin/sh
# Creates .venv from requirements.lock unless it is up to date.
set -eu
cd "$(dirname "$0")/.."
stamp=.venv/requirements.stamp
if ! cmp -s requirements.lock "$stamp" 2>/dev/null; then
    python3.11 -m venv .venv
    .venv/bin/pip install --quiet --require-hashes -r requirements.lock
    .venv/bin/pip install --quiet --no-deps --no-build-isolation -e .
    cp requirements.lock "$stamp"
fi
