#!/bin/sh
# Regenerates trefoilspool/wire/gen from the IDL; needs thrift-compiler.
set -eu
cd "$(dirname "$0")/.."
out=$(mktemp -d)
thrift --gen py -out "$out" trefoilspool/wire/peer.thrift
rm -rf trefoilspool/wire/gen
mkdir -p trefoilspool/wire/gen/peer
cp "$out"/trefoilspool/wire/gen/peer/*.py trefoilspool/wire/gen/peer/
: > trefoilspool/wire/gen/__init__.py
rm -rf "$out"
