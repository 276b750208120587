#!/bin/sh
# Regenerates trefoilspool/wire/gen from the Thrift IDL; needs thrift-compiler.
set -eu
cd "$(dirname "$0")/.."
out=$(mktemp -d)
for idl in peer mesh relay; do
    thrift --gen py -out "$out" "trefoilspool/wire/$idl.thrift"
    rm -rf "trefoilspool/wire/gen/$idl"
    mkdir -p "trefoilspool/wire/gen/$idl"
    cp "$out/trefoilspool/wire/gen/$idl"/*.py "trefoilspool/wire/gen/$idl/"
done
rm -rf "$out"
