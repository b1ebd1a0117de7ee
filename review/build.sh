#!/usr/bin/env bash
# The stand-ins of the scripts are Python and use the standard library only, so there is
# nothing to build; this checks that all of them compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 - lib/*.py */scenario.py <<'P'
import sys
from pathlib import Path

for name in sys.argv[1:]:
    compile(Path(name).read_text(encoding="utf-8"), name, "exec")
P
