#!/bin/sh
# The whole test run: lint, format, types, the floors, then the tests in two groups. Both groups run though the first fails.
set -eu
cd "$(dirname "$0")/.."
python -m ruff check --no-cache .
python -m ruff format --no-cache --check .
python -m mypy
lint-imports --no-cache

# Each worker's tests start processes of their own, so some cores stay free for these.
cores=$(getconf _NPROCESSORS_ONLN)
workers=$((cores > 5 ? cores - 4 : 1))
status=0
python -m pytest -m "not alone" --numprocesses "$workers" --dist loadgroup --durations 20 || status=$?
python -m pytest -m alone --durations 10 || status=$?
exit "$status"
