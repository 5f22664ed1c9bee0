#!/usr/bin/env bash
# Builds, and runs one measurement: tools/measure.sh SCENARIO [flags of the measure program].
set -euo pipefail
cd "$(dirname "$0")/.."
tools/build.sh
exec build/tests/measure "$@"
