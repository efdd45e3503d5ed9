#!/bin/sh
# Tests tools/check-words.sh: it must fail on a name that belongs to platform/ only.
set -eu
cd "$(dirname "$0")/.."
folder=$(mktemp -d)
trap 'rm -r "$folder"' EXIT
echo 'head.set("X-Time-Budget", "5");' > "$folder/Leak.cpp"
if tools/check-words.sh "$folder" >/dev/null; then
    echo "the check missed a name"
    exit 1
fi
echo 'int main() { }' > "$folder/Leak.cpp"
tools/check-words.sh "$folder"
