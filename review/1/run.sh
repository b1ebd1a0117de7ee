#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
here=$(cd "$(dirname "$0")" && pwd)
export PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="$here/../lib"
timeout -k 5 115 python3 "$here/scenario.py"
case $? in
  0) exit 0 ;;
  11) exit 1 ;;
  *) exit 2 ;;
esac
