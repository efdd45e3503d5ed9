#!/bin/sh
# Fails if sources outside platform/ contain a name of the users' platform, or if any source contains
# the wording of its documentation. Only platform/ decodes those names; all other code uses the
# project's own.
# usage: tools/check-words.sh [FOLDER ...]   default: libs tools tests
set -eu
cd "$(dirname "$0")/.."
[ $# -gt 0 ] || set -- libs tools tests
wire='X-Attempt-Id|X-Time-Budget|X-Server-Seal|X-Target-Instance|X-Not-Executed|X-Urgency-Level'
wire="$wire|X-Token-Count|X-Prompt-Prefix|X-Model|X-Expected-Version|X-Instance-Id|Last-Event-Id"
wire="$wire|WritesPerS|TargetLatencyMs|PathPrefix|AdapterSlots|SessionAffinity"
wire="$wire|X-Api-Key|X-Tenant|AuthExempt|RatePerS|BurstSize|PlainTokens|Store-Era"
wire="$wire|log-append|log-read|log-join|log-newest|kv-events|model_load|keyed\\.op|keyed\\.servers"
wording='fleetbench|requester|liveness report|time budget|disturbance|latency target|work unit|allotment'
found=$(grep -rnIE --include='*.cpp' --include='*.h' --include='*.proto' --include='*.txt' \
    "$wire" "$@" || true)
worded=$(grep -rnIiE --include='*.cpp' --include='*.h' --include='*.proto' "$wording" "$@" \
    platform || true)
[ -z "$found$worded" ] && exit 0
echo "names or wording of the users' platform where they do not belong:"
printf '%s\n%s\n' "$found" "$worded"
exit 1
