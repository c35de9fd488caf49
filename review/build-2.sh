#!/usr/bin/env bash
# Builds the stand-ins and the scripts' programs; needs only the JDK.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target/review-2
javac -nowarn -encoding UTF-8 --add-modules jdk.incubator.foreign -d target/review-2 review/standin-2/review/*.java
