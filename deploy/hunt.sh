#!/usr/bin/env bash
# Plays hunted days of the users' bench on sites, those of deploy/days among them,
# and sums up what broke: rules by kind with their seeds, and the worst days.
#
#   FLEETBENCH=path/to/fleetbench deploy/hunt.sh DAYS WHY SITE...
set -euo pipefail
cd "$(dirname "$0")/.."

usage="usage: FLEETBENCH=path/to/fleetbench deploy/hunt.sh DAYS WHY SITE..."
: "${FLEETBENCH:?$usage}"
[ $# -ge 3 ] || {
    echo "$usage" >&2
    exit 2
}
days=$1 why=$2
shift 2
[[ $days =~ ^[1-9][0-9]*$ ]] || {
    echo "DAYS is a whole number above 0, not '$days'" >&2
    exit 2
}

out=$(mktemp)
trap 'rm -f "$out"' EXIT
broken=0
for site in "$@"; do
    # The bench ends with an error if a day has broken a rule; that is told below.
    "$FLEETBENCH" hunt "$site" --days "$days" --jobs 3 --why "$why" >"$out" 2>&1 || true
    if ! grep -q "with a rule broken" "$out"; then
        echo "$site: the hunt did not end" >&2
        tail -n 5 "$out" >&2
        exit 1
    fi
    grep "with a rule broken" "$out"
    if grep "BROKEN" "$out"; then
        broken=1
        echo "rules broken, by kind:"
        grep -o "BROKEN: [A-Z]*" "$out" | sort | uniq -c
    fi
    echo "worst days:"
    grep -E " (0|1)\.[0-9]{2} +-?[0-9]\.[0-9]{3} " "$out" | awk '{
        for (i = 1; i < NF; i++) if ($i ~ /^[0-9]+\/[0-9]+$/) { print $(i + 2), $0; break }
    }' | sort -n | head -n 3 | cut -d " " -f 2- | cut -c 1-120
done
exit $broken
