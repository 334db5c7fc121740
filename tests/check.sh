#!/bin/sh
# The whole test run: lint, types, the floors, tests (the line limits and a start of the deploy file's sim among them).
set -eu
cd "$(dirname "$0")/.."
python -m ruff check .
python -m mypy
lint-imports --no-cache
python -m pytest
