#!/usr/bin/env bash
# Makes a copy of a site file in which all VMs are alike and weak: 0.12 cores, 160 MB, 10 Mbit/s. On
# it the links are what binds, whichever VM relays for its zone.
set -eu

if [ $# -ne 2 ]; then
    echo "usage: deploy/weak-site.sh SITE.toml FOLDER" >&2
    echo "  writes FOLDER/weak-SITE.toml, with the files beside the site that a day needs" >&2
    exit 2
fi
site=$1
folder=$2
repository=$(cd "$(dirname "$0")/.." && pwd)

if [ ! -f "$site" ]; then
    echo "no site file at '$site': name one that can be read" >&2
    exit 2
fi
mkdir -p "$folder"
case "$(cd "$folder" && pwd)/" in
    "$repository"/*)
        echo "'$folder' lies in the repository, where copies of sites do not belong: name another" >&2
        exit 2
        ;;
esac

cp "$(dirname "$site")"/*.json "$folder"
sed -E '/class = "front"/ {
    s/cpu_share = [0-9.]+/cpu_share = 0.12/g
    s/memory_mb = [0-9.]+/memory_mb = 160/g
    s/fds = [0-9]+/fds = 4100/g
    s/link_mbps = [0-9.]+/link_mbps = 10.0/g
}' "$site" > "$folder/weak-$(basename "$site")"
echo "$folder/weak-$(basename "$site")"
