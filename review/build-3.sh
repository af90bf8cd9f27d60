#!/usr/bin/env bash
# Prepares what the scripts of review/11 to review/15 and review/extra-3 start beside the program of the deploy file: their
# stand-ins are Python with its standard library only, so that nothing is compiled or fetched. Checks
# that they parse on this machine.
set -euo pipefail
cd "$(dirname "$0")"
python3 - lib-3/rig.py 1[1-5]/case.py extra-3/*.py <<'CHECK'
import ast, sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for path in sys.argv[1:]:
    with open(path) as f:
        ast.parse(f.read(), path)
print(f"{len(sys.argv) - 1} files checked")
CHECK
