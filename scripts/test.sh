#!/usr/bin/env bash
# Installs, builds and passes the tests. AUBURNSPREAD_JOBS bounds the parallel jobs, BUILD_DIR names the build folder.
set -euo pipefail
cd "$(dirname "$0")/.."

jobs=${AUBURNSPREAD_JOBS:-$(nproc)}
build=${BUILD_DIR:-build}

scripts/packages.sh
cmake -S . -B "$build" -G Ninja >/dev/null
cmake --build "$build" -j "$jobs" -- --quiet
ctest --test-dir "$build" -j "$jobs" --output-on-failure
