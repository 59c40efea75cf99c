#!/usr/bin/env bash
# Installs what the build, the tests and the linters need on a fresh Debian 12 machine, as root.
set -euo pipefail
PACKAGES=(g++ cmake ninja-build ccache git clang-format clang-tidy python3
    libpoco-dev libwebsocketpp-dev libboost-dev libgflags-dev libgoogle-glog-dev
    libcriterion-dev nlohmann-json3-dev libxxhash-dev libbenchmark-dev iproute2)
missing=()
for package in "${PACKAGES[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
if [ ${#missing[@]} -gt 0 ]; then
    apt-get update -q
    DEBIAN_FRONTEND=noninteractive apt-get install -y -q --no-install-recommends "${missing[@]}"
fi
