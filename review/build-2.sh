#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8 into target/review-2/. Needs g++ and nlohmann-json, which
# the deploy file lists.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standins-2/*.cpp; do
    g++ -O1 -g -std=c++20 -Wall -Wextra -pthread "$source" -o "target/review-2/$(basename "$source" .cpp)"
done
