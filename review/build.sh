#!/usr/bin/env bash
# Builds the programs of the scripts' cases into target/review/; the daemon comes from the build of the
# deploy file.
set -eu
cd "$(dirname "$0")/standins"
out=../../target/review
mkdir -p "$out"
for name in Net Platform Runner Scene; do
    g++ -std=c++20 -O1 -Wall -Wextra -c "$name.cpp" -o "$out/$name.o" &
done
wait
for source in Case*.cpp; do
    case=${source%.cpp}
    g++ -std=c++20 -O1 -Wall -Wextra "$source" "$out/Net.o" "$out/Platform.o" "$out/Runner.o" "$out/Scene.o" \
        -o "$out/${case,,}" -pthread
done
