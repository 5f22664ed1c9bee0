#!/usr/bin/env bash
# Builds all targets and runs one measurement scenario. Usage: tools/measure.sh SCENARIO [flags of the measure program]
set -euo pipefail
cd "$(dirname "$0")/.."
tools/build.sh
exec build/tests/measure "$@"
