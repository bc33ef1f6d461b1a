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
printf '%s\n' "${files[@]}" | { grep '\.cpp$' || true; } | xargs -r -P "$jobs" -n 1 clang-tidy --quiet -p "$build" 2>/dev/null
echo "format and lint clean: ${#files[@]} files"
