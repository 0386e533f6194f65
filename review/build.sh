#!/bin/bash
# The stand-ins are Python programs on the standard library alone: this checks that they can be run.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 11), "Python 3.11 or later is needed"'
python3 - <<'END'
import pathlib
for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
END
echo "the stand-ins are ready"
