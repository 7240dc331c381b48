#!/usr/bin/env bash
# Prepares the stand-ins that the scripts start. They are Python files of the standard library only
# (3.11 or later), so there is nothing to compile; this checks that they parse and that Python is there.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PY'
import pathlib, sys, tomllib
assert sys.version_info >= (3, 11), "Python 3.11 or later is needed"
for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
PY
