#!/bin/sh
# Checks that the stand-ins and scripts of the second review compile; they need only
# the standard library, so there is nothing to install.
set -eu
cd "$(dirname "$0")/.."
for file in review/standins_2.py review/*/run.py; do
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
