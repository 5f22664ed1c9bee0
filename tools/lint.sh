#!/usr/bin/env bash
# Checks the formatting of all source files and runs clang-tidy on each translation unit.
# A unit that passed is not checked again until it, a header or .clang-tidy changes (stamps in .cache/lint).
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
mkdir -p .cache/lint

mapfile -t files < <(git ls-files --cached --others --exclude-standard 'src/*.h' 'src/*.cpp' 'platform/*.h' 'platform/*.cpp' 'tests/*.h' 'tests/*.cpp' | grep -v '/generated/')
clang-format --dry-run --Werror "${files[@]}"
echo "format: ${#files[@]} files clean"

headers=$(cat .clang-tidy $(git ls-files --cached --others --exclude-standard 'src/*.h' 'platform/*.h' 'tests/*.h' | sort) | sha256sum | cut -c1-16)
export build headers
lint_one() {
    local stamp
    stamp=.cache/lint/$( (echo "$headers"; cat "$1") | sha256sum | cut -c1-32)
    [ -f "$stamp" ] && return 0
    if clang-tidy --quiet -p "$build" "$1" >".cache/lint/out.$$" 2>/dev/null; then
        touch "$stamp"
        rm -f ".cache/lint/out.$$"
    else
        cat ".cache/lint/out.$$"
        rm -f ".cache/lint/out.$$"
        echo "lint: $1 has findings"
        return 1
    fi
}
export -f lint_one
mapfile -t units < <(printf '%s\n' "${files[@]}" | grep '\.cpp$')
printf '%s\n' "${units[@]}" | xargs -P "$(nproc)" -I{} bash -c 'lint_one {}'
echo "lint: ${#units[@]} units clean"
