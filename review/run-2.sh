#!/usr/bin/env bash
# Runs a program of review/standin-2 in the repository's root: NAME RECORD.
set -uo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
[ -d target/review-2 ] && [ -f platform/target/gateway.jsa ] || { echo "not built" >&2; exit 2; }
exec java -Xmx512m --add-modules jdk.incubator.foreign --enable-native-access=ALL-UNNAMED \
    --add-opens java.base/sun.nio.ch=ALL-UNNAMED -cp target/review-2 "review.$1" "$2"
