#!/usr/bin/env bash
# Installs, builds and starts a small site on loopback addresses: fakes, three entries in three failure domains, console
# and placer. Submits Highveld's document, sends quotes, line-item checks and deposit notices, checks every answer and
# prints a report. Stops only what it started; exits non-zero if any answer is wrong.
#   scripts/demo.sh          one run
#   scripts/demo.sh --keep   leaves the site running and says how to use and stop it
set -euo pipefail
cd "$(dirname "$0")/.."

keep=no
case ${1:-} in
--keep) keep=yes ;;
'') ;;
*)
    echo "usage: scripts/demo.sh [--keep]" >&2
    exit 2
    ;;
esac

export BUILD_DIR=${BUILD_DIR:-build}
scripts/packages.sh
cmake -S . -B "$BUILD_DIR" -G Ninja >/dev/null
cmake --build "$BUILD_DIR" -j "${AUBURNSPREAD_JOBS:-$(nproc)}" -- --quiet

site=$(mktemp -d "${TMPDIR:-/tmp}/auburnspread-demo.XXXXXX")
stop_site() {
    scripts/site.sh stop "$site"
    rm -rf "$site"
}
trap stop_site EXIT
scripts/site.sh start "$site" highveld --entries 3 --console --placer

echo "== one streamed quote, as a caller sees it (first events)"
entry=$(jq -r '[.processes[] | select(.kind == "entry")][0].address' "$site/site.json")
workspace=$(jq -r '.workspaces[0].name' "$site/document.json")
quote=(-sS -H "Auburnspread-Workspace: $workspace" -H 'Auburnspread-Class: full-quote'
    -d '{"messages":[{"role":"user","content":"Quote 120 m2 of sheeting, 3 trusses, flashing"}],"stream":true,"max_tokens":20}'
    "http://$entry/v1/chat/completions")
curl "${quote[@]}" | sed -n 1,3p
echo "== which addresses a caller may use"
curl -sS "http://$entry/v1/entries?workspace=$workspace&class=full-quote"
echo
echo "== traffic: every answer is checked to be whole, in order and its own caller's"
"$BUILD_DIR/bin/auburnspread-load" --site "$site" scenarios/demo.ini
echo "== all answers were right"

if [ "$keep" = yes ]; then
    trap - EXIT
    echo
    jq -r '.processes[] | select(.kind != "engine" and .kind != "service") | "\(.kind) \(.name): callers or pages \(.address), admin or control \(.control)"' "$site/site.json"
    echo "try:  curl -N ${quote[*]@Q}"
    echo "stop: BUILD_DIR=$BUILD_DIR scripts/site.sh stop $site"
fi
