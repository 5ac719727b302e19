#!/usr/bin/env bash
# The stand-ins are Python programs without dependencies, so nothing is compiled; this only checks that they can
# be run here.
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || { echo "python3 is missing (a package of scripts/install)" >&2; exit 2; }
python3 - <<'PY'
import glob, sys, tomllib  # tomllib: Python 3.11
for path in sorted(glob.glob("lib/*.py") + glob.glob("[0-9]/*.py")):
    compile(open(path).read(), path, "exec")
PY
