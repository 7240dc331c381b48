#!/usr/bin/env bash
# Formats, lints, documents and tests the whole workspace.
set -euo pipefail
cd "$(dirname "$0")"
cargo fmt --all --check
cargo clippy --workspace --all-targets --locked -- -D warnings
RUSTDOCFLAGS="-D warnings" cargo doc --workspace --no-deps --locked
# The tests with separate processes start what this builds.
cargo build --workspace --bins --examples --locked
cargo test --workspace --locked
