#!/bin/sh
# Builds the stand-ins of the review's cases into review/bin. Needs rustc alone.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
for source in [0-9]/case.rs; do
  rustc --edition 2021 -O -o "bin/case-${source%/case.rs}" "$source"
done
