#!/usr/bin/env bash
# Mutation check: shows that each test detects the fault that it guards against.
# In a scratch copy of the source, the test must pass, and then fail with one mechanism disabled.
# Usage: tools/prove.sh [NAME...]    The mechanisms are listed in tests/mutations.txt, one per line:
#   name | file | sed expression that disables it | test program | test case filter
# Prints for each: mutation=NAME test="..." seen_failing=yes|no|not_applied|not_built|fails_without_it
set -uo pipefail
cd "$(dirname "$0")/.."
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
mkdir "$scratch/tree"
git ls-files --cached --others --exclude-standard | tar -cf - -T - | tar -xf - -C "$scratch/tree"
cmake -S "$scratch/tree" -B "$scratch/build" -G Ninja >/dev/null || exit 2
result=0
build_tests() {
    ninja -C "$scratch/build" "$1" cicadamux platform_standin backend_standin >"$scratch/log" 2>&1
}
while IFS='|' read -r name file expression program filter; do
    name=$(xargs <<<"$name")
    case "$name" in ''|'#'*) continue ;; esac
    if [ $# -gt 0 ] && [[ " $* " != *" $name "* ]]; then continue; fi
    file=$(xargs <<<"$file")
    program=$(xargs <<<"$program")
    filter=$(sed 's/^ *//; s/ *$//' <<<"$filter")
    expression=$(sed 's/^ *//; s/ *$//' <<<"$expression")
    cp "$scratch/tree/$file" "$scratch/original"
    if ! build_tests "$program" || ! "$scratch/build/tests/$program" --test-case="$filter" >"$scratch/log" 2>&1; then
        result=1
        echo "mutation=$name test=\"$filter\" seen_failing=fails_without_it"
        continue
    fi
    sed -i -E "$expression" "$scratch/tree/$file"
    if cmp -s "$scratch/original" "$scratch/tree/$file"; then
        seen=not_applied
    elif ! build_tests "$program"; then
        seen=not_built
        tail -5 "$scratch/log"
    elif "$scratch/build/tests/$program" --test-case="$filter" >"$scratch/log" 2>&1; then
        seen=no
    else
        seen=yes
        grep -m1 -E 'ERROR|FATAL|violat' "$scratch/log" || true
    fi
    [ "$seen" = yes ] || result=1
    echo "mutation=$name test=\"$filter\" seen_failing=$seen"
    cp "$scratch/original" "$scratch/tree/$file"
done <tests/mutations.txt
exit $result
