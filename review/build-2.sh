#!/usr/bin/env bash
# Checks the stand-ins and scripts of review/6 to review/10. They are plain Python
# without dependencies, so nothing has to be compiled.
set -eu
cd "$(dirname "$0")/.."
python3 -P - review/lib2/*.py review/6/*.py review/7/*.py review/8/*.py \
    review/9/*.py review/10/*.py <<'P'
import sys
from pathlib import Path

for name in sys.argv[1:]:
    compile(Path(name).read_text(encoding="utf-8"), name, "exec")
P
