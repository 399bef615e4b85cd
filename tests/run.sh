#!/bin/bash
# Lint, types, tests; sets up the environments that they need (bin/env).
set -euo pipefail
cd "$(dirname "$0")/.."
bin/env
PATH="$PWD/.tools/bin:$PATH"
ruff check .
mypy
python -m pytest "$@"
