#!/usr/bin/env bash
# Formats, lints, documents and tests the whole workspace.
#
# Tests named in KNOWN-RED.txt run apart at the end; their results are printed
# and do not decide.
set -euo pipefail
cd "$(dirname "$0")"

known_red=()
skips=()
if [ -f KNOWN-RED.txt ]; then
    while read -r name; do
        known_red+=("$name")
        skips+=(--skip "$name")
    done < <(sed -n 's/^test: //p' KNOWN-RED.txt)
fi

cargo fmt --all --check
cargo clippy --workspace --all-targets --locked -- -D warnings
RUSTDOCFLAGS="-D warnings" cargo doc --workspace --no-deps --locked
# The tests with separate processes start what this builds.
cargo build --workspace --bins --examples --locked
cargo test --workspace --locked -- "${skips[@]}"

for name in "${known_red[@]}"; do
    echo "Known red: $name"
    cargo test --workspace --tests --locked --quiet -- --exact "$name" 2>&1 |
        grep -E "^test result: .*[1-9][0-9]* (passed|failed)" || true
done
echo "Everything passed but what KNOWN-RED.txt names (${#known_red[@]})."
