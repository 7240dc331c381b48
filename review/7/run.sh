#!/bin/sh
# A raised limit of the configuration does not reach connections that are kept.
# Exits with 1 if DENIED was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0: the limit has been high from the start.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/wharf ] && [ -x target/review-2/case-7 ] || { echo "could not run: build first"; exit 2; }
exec target/review-2/case-7
