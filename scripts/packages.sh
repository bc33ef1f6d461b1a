#!/usr/bin/env bash
# Installs what the build and the tests need, from Debian's packages only.
set -euo pipefail

packages=(
    cmake ninja-build g++ clang-format clang-tidy
    libevent-dev libevhtp-dev libwebsocketpp-dev nlohmann-json3-dev liblog4cxx-dev libinih-dev
    libxxhash-dev libboost-dev libssl-dev zlib1g-dev
    libgtest-dev librapidcheck-dev libbenchmark-dev
    gnuplot-nox curl jq git python3-minimal
)

missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
if [ "${#missing[@]}" -eq 0 ]; then
    exit 0
fi
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${missing[@]}"
