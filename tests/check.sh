#!/bin/sh
# The whole test run: lint, format, types, the floors, tests (the line limits and a start of the deploy file's sim among them).
set -eu
cd "$(dirname "$0")/.."
python -m ruff check --no-cache .
python -m ruff format --no-cache --check .
python -m mypy
lint-imports --no-cache
python -m pytest
