#!/bin/sh
# Checks that the stand-ins compile; they need nothing but the Python of the deploy file's build.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
