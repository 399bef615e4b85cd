#!/bin/sh
# Uploads of some MB while two hosts of twelve are silent.  Exit 1: broken, 0: held, 2: could not run.
cd "$(dirname "$0")/../.." || exit 2
test -x .venv/bin/python || exit 2
exec timeout --preserve-status -k 1 117 .venv/bin/python -B review/3/play.py
