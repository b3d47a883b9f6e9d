#!/usr/bin/env bash
# Compiles the stand-ins and the cases of the second review (6 to 10) to target/review-2.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
rm -rf target/review-2
mkdir -p target/review-2
shopt -s nullglob
javac -encoding UTF-8 --release 17 -d target/review-2 review/common-2/review2/*.java review/{6,7,8,9,10}/*.java
