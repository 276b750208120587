#!/bin/sh
# Plays seeds of the fault soak: sh scripts/soak.sh --first 1 --count 50
set -eu
cd "$(dirname "$0")/.."
sh scripts/environment.sh
PYTHONPATH=platform exec .venv/bin/python tests/soak.py "$@"
