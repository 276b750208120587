#!/bin/sh
# Runs seeds of the fault soak test: sh scripts/soak.sh --first 1 --count 50
set -eu
cd "$(dirname "$0")/.."
sh scripts/environment.sh
PYTHONPATH=platform exec .venv/bin/python tests/soak.py "$@"
