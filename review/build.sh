#!/bin/sh
# Builds what the scripts start.  The stand-ins are Python programs of the standard library alone: they are only checked.
# The scripts need the deploy file's build and nothing else.
cd "$(dirname "$0")/.." || exit 1
for file in review/standins.py review/*/play.py; do
    .venv/bin/python -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file" || exit 1
done
