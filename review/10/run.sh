#!/bin/sh
# Exit 1: the rule was broken; 0: it held; 2: the case could not run.  TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
.venv/bin/python -c 'import httptools, uvloop' 2>/dev/null || { echo "run the deploy file's build first" >&2; exit 2; }
exec .venv/bin/python -B review/10/case.py
