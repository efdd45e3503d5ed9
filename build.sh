#!/usr/bin/env bash
# Builds, tests and demonstrates monsoonbay. See README.md; every command installs what it needs.
set -eu
cd "$(dirname "$0")"
here=$(pwd)
build="$here/build"

usage() {
    cat <<'EOF'
usage: ./build.sh COMMAND [--deployment bavaria|finland] [--seconds N] [--rate N]

  demo     builds, starts the stand-ins and daemons of one deployment on loopback,
           sends a mixed load, prints the measures, writes a plot, ends all it started
  test     formatting, linting, build and all tests; what CI runs
  path     measures what the path adds to a direct call, in one run
  build    builds everything into build/
  format   formats the sources in place
EOF
}

install_packages() {
    local missing=()
    local package
    while read -r package; do
        dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' \
            || missing+=("$package")
    done < packages.txt
    [ ${#missing[@]} -eq 0 ] && return
    echo "installing: ${missing[*]}"
    apt-get update -qq
    DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
}

build_all() {
    cmake -G Ninja -S "$here" -B "$build" -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
    cmake --build "$build"
}

sources() {
    find libs platform tools tests -name '*.pb.*' -prune -o \( -name '*.cpp' -o -name '*.h' \) -print 2>/dev/null
}

check_format() {
    sources | xargs clang-format --dry-run --Werror
}

lint() {
    # Only our own translation units, no generated code; tests and end-to-end tests are left out.
    sources | grep '\.cpp$' | grep -vE '/(tests|e2e)/' \
        | xargs -P "$(nproc)" -n 4 clang-tidy -p "$build" --quiet 2>/dev/null
}

started=()
stop_started() {
    # Signals the daemons first, so that they shut down gracefully and do not log at the end that the
    # platform is unreachable.
    local index
    for ((index = ${#started[@]} - 1; index >= 0; --index)); do
        kill -TERM "${started[$index]}" 2>/dev/null || true
    done
    wait 2>/dev/null || true
}

demo() {
    local deployment=bavaria seconds=20 rate=3
    while [ $# -gt 0 ]; do
        case "$1" in
            --deployment) deployment=$2; shift 2 ;;
            --seconds) seconds=$2; shift 2 ;;
            --rate) rate=$2; shift 2 ;;
            *) usage; exit 2 ;;
        esac
    done
    start_deployment "$deployment"
    "$loadgen" load --deployment "$deployment" --folder "$folder" --seconds "$seconds" --rate "$rate"
}

path() {
    start_deployment bench
    "$loadgen" path --deployment bench --folder "$folder" --seconds "${1:-4}"
}

start_deployment() {
    local deployment=$1
    folder="$here/out/$deployment"
    loadgen="$build/tools/loadgen/monsoonbay-loadgen"
    "$loadgen" plan --deployment "$deployment" --folder "$folder"
    trap stop_started EXIT
    local line number=0
    while read -r line; do
        number=$((number + 1))
        # shellcheck disable=SC2086
        "$build"/$line >"$folder/process-$number.out" 2>"$folder/process-$number.log" &
        started+=($!)
    done < "$folder/processes.txt"
    echo "started $number processes; logs are in out/$deployment"
}

# Runs all tests but those that KNOWN-RED.txt lists, then runs these and prints their outcome.
run_tests() {
    local pattern programs
    local leftOut=()
    pattern=$(tools/known-red.sh pattern)
    programs=$(tools/known-red.sh programs)
    [ -z "$programs" ] || leftOut=(-E "$programs")
    if [ -n "$pattern" ]; then
        export CRITERION_TEST_PATTERN=$pattern
    fi
    ctest --test-dir "$build" --output-on-failure -j "$(nproc)" "${leftOut[@]}"
    unset CRITERION_TEST_PATTERN
    tools/known-red.sh play --build "$build"
}

command=${1:-}
[ $# -gt 0 ] && shift
case "$command" in
    demo) install_packages; build_all; demo "$@" ;;
    test) install_packages; check_format; build_all; lint; run_tests ;;
    path) install_packages; build_all; path "$@" ;;
    build) install_packages; build_all ;;
    format) sources | xargs clang-format -i ;;
    *) usage; exit 2 ;;
esac
