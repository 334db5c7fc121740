#!/bin/sh
# Exit status: 1 = the rule was broken, 0 = it held, 2 = the case could not run. TROUBLE=0 omits the disruption.
cd "$(dirname "$0")" || exit 2
PYTHONPATH=.. ../../.venv/bin/python -B case.py
case $? in
0) exit 0 ;;
10) exit 1 ;;
*) exit 2 ;;
esac
