#!/bin/sh
# Runs the case once: 0 the rule held, 1 it was broken, 2 the case couldn't run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
program=$here/../bin/case-3
[ -x "$program" ] && [ -x "$root/target/release/lemontide" ] || { echo "not built"; exit 2; }
temporary=$(mktemp -d) || exit 2
# The controllers are killed when the program ends, however it ends.
timeout -k 2 100 "$program" "$root" "$here" "$temporary" &
running=$!
trap 'kill "$running" 2> /dev/null; wait "$running"; rm -rf "$temporary"; exit 2' HUP INT TERM
wait "$running"
status=$?
rm -rf "$temporary"
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
