#!/usr/bin/env bash
# Exit code 1: the rule was broken; 0: it held; 2: the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd) || exit 2
case=$(basename "$PWD")
[ -x "$root/target/release/lemontide" ] && [ -x "$root/target/review-2/$case" ] || { echo "run the build of the deploy file and review/build-2.sh first" >&2; exit 2; }
export ROOT=$root RECORD=$PWD/record.txt TROUBLE=${TROUBLE:-1}
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
"$root/target/review-2/$case" &
running=$!
# The controllers end with the program, however it ends; it ends itself after 117 s at the latest.
trap 'kill "$running" 2> /dev/null; wait "$running"; rm -rf "$TMPDIR"; exit 2' HUP INT TERM
wait "$running"
code=$?
rm -rf "$TMPDIR"
[ "$code" -le 2 ] || code=2
exit "$code"
