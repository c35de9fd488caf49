#!/usr/bin/env bash
# Compiles the stand-ins that the scripts of the cases start.
set -e
cd "$(dirname "${BASH_SOURCE[0]}")"
mkdir -p target
javac -d target standin/*.java
