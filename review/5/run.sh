#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
case=$(cd "$(dirname "$0")" && pwd)
cd "$case/../.." || exit 2
tmp=$(mktemp -d) || exit 2
trap 'rm -rf "$tmp"' EXIT
timeout -k 5 110 java -Xmx512m -cp target/review review.Walls "$case/record.txt" "$tmp"
# The JVM itself ends with 1 if it can't start, so the program says 10 for a broken rule.
case $? in
  0) exit 0 ;;
  10) exit 1 ;;
  *) exit 2 ;;
esac
