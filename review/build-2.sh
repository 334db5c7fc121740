#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file. They are scripts of the standard
# library that run from their sources, so all that can be done beforehand is to check that they can be read.
set -eu
cd "$(dirname "$0")/.."
for script in review/common_2/*.py review/[6-9]/*.py review/10/*.py; do
    .venv/bin/python -B -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$script"
done
