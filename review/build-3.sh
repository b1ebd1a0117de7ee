#!/usr/bin/env bash
# Checks that the stand-ins of the scripts can be loaded after the build of the deploy
# file; they are written in Python and need no build of their own.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:review/lib3 PYTHONDONTWRITEBYTECODE=1 python3 -P -c "
import engines
import standins
"
