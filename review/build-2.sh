#!/usr/bin/env bash
# Builds what the scripts of cases 6 to 10 start beside the programs of the deploy file: the stand-ins, which are
# Python programs that need the standard library only.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
command -v python3 >/dev/null || { echo "build-2: python3 is missing; scripts/install installs it" >&2; exit 1; }
python3 - <<'END'
import ast, glob, sys
assert sys.version_info >= (3, 11), "tomllib needs Python 3.11"
for path in sorted(glob.glob("standins-2/*.py") + [path for n in range(6, 11) for path in glob.glob(f"{n}/*.py")]):
    ast.parse(open(path).read(), path)
    print("build-2:", path, "is complete")
END
