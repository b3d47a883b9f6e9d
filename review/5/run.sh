#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
case=$(cd "$(dirname "$0")" && pwd)
cd "$case/../.." || exit 2
tmp=$(mktemp -d) || exit 2
trap 'rm -rf "$tmp"' EXIT
timeout -k 5 110 java -Xmx256m -cp target/review review.Walls "$case" "$tmp"
code=$?
[ $code -le 1 ] || exit 2
exit $code
