#!/usr/bin/env bash
# Builds all targets in build/, or in the folder $1.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
[ -f "$build/build.ninja" ] || cmake -S . -B "$build" -G Ninja >/dev/null
ninja -C "$build" --quiet
