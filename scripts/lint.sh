#!/usr/bin/env bash
# Checks format (clang-format) and lint (clang-tidy) of every source file, or of the files named.
# BUILD_DIR names a configured build folder.
set -euo pipefail
cd "$(dirname "$0")/.."

build=${BUILD_DIR:-build}
jobs=${AUBURNSPREAD_JOBS:-$(nproc)}
if [ "$#" -gt 0 ]; then
    files=("$@")
else
    mapfile -t files < <(git ls-files 'src/*.cpp' 'src/*.h' 'platform/*.cpp' 'platform/*.h')
fi

clang-format --dry-run --Werror "${files[@]}"
# A file whose key was found clean on this machine is not checked again: see scripts/lintkeys.py.
stamps=${AUBURNSPREAD_LINT_STAMPS:-${HOME:-/tmp}/.cache/auburnspread-lint}
mkdir -p "$stamps"
mapfile -t sources < <(printf '%s\n' "${files[@]}" | { grep '\.cpp$' || true; })
checked=0
pending=()
if [ "${#sources[@]}" -gt 0 ]; then
    mapfile -t keyed < <(scripts/lintkeys.py "${sources[@]}")
    for line in "${keyed[@]}"; do
        [ -e "$stamps/${line%% *}" ] || pending+=("$line")
    done
    checked=${#pending[@]}
fi
export build stamps
# shellcheck disable=SC2016
lint_one='line=$1; clang-tidy --quiet -p "$build" "${line#* }" 2>/dev/null && touch "$stamps/${line%% *}"'
[ "$checked" -eq 0 ] || printf '%s\0' "${pending[@]}" | xargs -0 -r -P "$jobs" -n 1 bash -c "$lint_one" lint
echo "format and lint clean: ${#files[@]} files, $checked linted now"
