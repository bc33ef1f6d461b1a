#!/usr/bin/env bash
# Builds what deploy/system.toml builds, by its own line.
set -euo pipefail
cd "$(dirname "$0")/.."

line=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)
[ -n "$line" ] || { echo "deploy/system.toml: no line that builds" >&2; exit 1; }
bash -c "$line" >/dev/null
echo "built as deployed: $line"
