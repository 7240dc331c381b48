#!/bin/sh
# Builds the stand-ins and scripts of the second review, offline, with the standard
# library only. Needs nothing but the toolchain; run in the root of the repository,
# after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in review/*/case.rs; do
    number=$(basename "$(dirname "$case")")
    rustc --edition 2021 -C opt-level=2 -o "target/review-2/case-$number" "$case"
done
