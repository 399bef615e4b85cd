#!/bin/sh
# Builds what the scripts start.  The stand-ins are Python programs of the standard library alone: they are only checked.
# Cases 1 and 3 start the project's commands (bin/moleworks), whose environment .tools is made by bin/env.
cd "$(dirname "$0")/.." || exit 1
for file in review/standins.py review/*/play.py review/*/worker.py; do
    .venv/bin/python -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file" || exit 1
done
bin/env || echo "review: .tools could not be made: cases 1 and 3 will exit with 2, case 2 does not need it" >&2
