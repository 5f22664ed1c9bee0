#!/usr/bin/env bash
# The stand-ins are Python scripts without dependencies (Python 3.11 or later); this only checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
for script in standin/*.py */case.py; do
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$script"
done
