#!/bin/sh
# Checks that what the scripts start and use can be run.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review tests/platformstore.py tests/platformendpoint.py
