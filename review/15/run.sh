#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=target/deps:review/lib3 PYTHONDONTWRITEBYTECODE=1 exec python3 -P review/15/case.py
