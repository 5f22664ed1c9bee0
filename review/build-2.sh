#!/usr/bin/env bash
# Builds the programs of the scripts review/6 to review/10, with their stand-ins, in target/review-2/. Needs g++ only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standin-2/*.cpp; do
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review-2/$(basename "$source" .cpp)" "$source"
done
