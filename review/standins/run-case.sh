#!/usr/bin/env bash
# usage: run-case.sh NAME FOLDER: runs target/review/NAME, whose record goes to FOLDER/record.txt.
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
set -u
cd "$(dirname "$0")/../.."
name=$1
folder=$2
daemon=target/tools/monsoonbayd/monsoonbayd
[ -x "$daemon" ] && [ -x "target/review/$name" ] || exit 2
scratch=$(mktemp -d)
finish() {
    while read -r process; do
        kill -KILL "$process" 2>/dev/null
    done < <(cat "$scratch/processes" 2>/dev/null)
    rm -rf "$scratch"
}
trap finish EXIT
timeout -k 2 115 "target/review/$name" "$daemon" "$folder/record.txt" "$scratch"
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
