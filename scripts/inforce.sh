#!/usr/bin/env bash
# Measures the time from an accepted submission to its version in force on every entry, on loopback.
#   scripts/inforce.sh [--entries N] [--changes N] [--platform-out]
# With --platform-out the platform's service goes down as soon as a submission is accepted, until all entries have it.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=${BUILD_DIR:-build}/bin
entries=8 changes=100 outage=no
while [ "$#" -gt 0 ]; do
    case $1 in
    --entries) entries=$2 && shift 2 ;;
    --changes) changes=$2 && shift 2 ;;
    --platform-out) outage=yes && shift ;;
    *) echo "unknown option $1" >&2 && exit 2 ;;
    esac
done

site=$(mktemp -d "${TMPDIR:-/tmp}/auburnspread-inforce.XXXXXX")
trap 'scripts/site.sh stop "$site" >/dev/null; rm -rf "$site"' EXIT
scripts/site.sh start "$site" highveld --entries "$entries" --engines 3 >/dev/null
platform=$(jq -r '.processes[] | select(.kind == "platform") | .address' "$site/site.json")
control=$(jq -r '.processes[] | select(.kind == "platform") | .control' "$site/site.json")
mapfile -t admins < <(jq -r '.processes[] | select(.kind == "entry") | .control' "$site/site.json")
version=$(curl -sS "http://${admins[0]}/v1/status" | jq .configuration.version)

wait_in_force() {
    local admin
    for admin in "${admins[@]}"; do
        until curl -sS "http://$admin/v1/status" | grep -q "\"version\":$1}"; do sleep 0.005; done
    done
}

for change in $(seq "$changes"); do
    jq --argjson target $((500 + change)) '.classes[0].first_token_ms = $target' "$site/document.json" >"$site/next.json"
    "$bin/auburnspreadctl" submit --platform "$platform" --edited "$version" "$site/next.json" >/dev/null
    accepted=$(date +%s%N)
    if [ "$outage" = yes ]; then
        curl -sS -X POST "http://$control/control" -d '{"down":true}' >/dev/null
    fi
    version=$((version + 1))
    wait_in_force "$version"
    echo $((($(date +%s%N) - accepted) / 1000000))
    if [ "$outage" = yes ]; then
        curl -sS -X POST "http://$control/control" -d '{"down":false}' >/dev/null
    fi
done | sort -n | awk -v entries="$entries" '{ times[NR] = $1 } END { printf "%d entries, %d changes: median %d ms, worst %d ms\n", entries, NR, times[int((NR + 1) / 2)], times[NR] }'
