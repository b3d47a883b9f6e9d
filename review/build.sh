#!/usr/bin/env bash
# Compiles the stand-ins and the cases. Run from anywhere, after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -nowarn -d target/review $(find review -name '*.java')
