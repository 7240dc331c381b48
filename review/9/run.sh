#!/bin/sh
# A request that ends servers, while the two hosts that count its crashes are lost.
# Exits with 1 if BUDGET was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0: the same, but no host is lost.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/wharf ] && [ -x target/review-2/case-9 ] || { echo "could not run: build first"; exit 2; }
exec target/review-2/case-9
