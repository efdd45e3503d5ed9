#!/bin/sh
# Prints docs/EVENTS.md from the catalogue in libs/observe/src/Events.cpp.
set -eu
cd "$(dirname "$0")/.."
cat <<'EOF'
# Events

Each line of the log is one numbered event: `E` and its number, its name, the VM, then its fields.
Numbers are never reused. Fields never hold a caller's access token, a prompt or an answer.
This page is printed by tools/events-page.sh; a test checks that it matches the code.

| number | name | level | what it means | what to do |
|---|---|---|---|---|
EOF
tr '\n' ' ' < libs/observe/src/Events.cpp | sed 's/  */ /g; s/" "//g; s/EventRow{ /EventRow{/g' | grep -o 'EventRow{EventId::[^}]*}' | while read -r row; do
    id=$(echo "$row" | sed 's/.*EventId::\([A-Za-z]*\),.*/\1/')
    number=$(grep -o "^ *$id = [0-9]*" libs/observe/include/observe/Events.h | grep -o '[0-9]*$')
    echo "$row" | sed 's/.*EventId::[A-Za-z]*, "\([^"]*\)", EventLevel::\([A-Za-z]*\), "\([^"]*\)", "\([^"]*\)".*/\1 | \2 | \3 | \4/' \
        | sed "s/| Info |/| info |/; s/| Warning |/| warning |/; s/| Error |/| error |/; s/^/| E$number | /; s/\$/ |/"
done
