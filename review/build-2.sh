#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: all are Python, and need nothing
# but the standard library. They are compiled here, so that an error shows now.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
PYTHONPYCACHEPREFIX=target/review-2 python3 -m compileall -q \
    review/stand-ins-2 review/6 review/7 review/8 review/9 review/10 tests/platformstore.py tests/platformendpoint.py
