#!/usr/bin/env bash
# Checks the stand-ins and scripts of review/11 to review/15 after the build of the deploy
# file, which brings the project's stand-in of the store. They are written in Python, so
# nothing has to be compiled; no file of review/lib or review/lib2 is used.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps:review/lib3 PYTHONDONTWRITEBYTECODE=1
python3 -P - review/lib3/*.py review/1[1-5]/*.py <<'P'
import sys
from pathlib import Path

import engines
import standins
from hibiscusspar_platform.tests import store_stand_in

for name in sys.argv[1:]:
    compile(Path(name).read_text(encoding="utf-8"), name, "exec")
P
