#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the demo need; does nothing if all are installed.
set -euo pipefail
packages=(
    g++ cmake ninja-build ccache pkg-config clang-format clang-tidy curl
    libboost1.81-dev libboost-log1.81-dev libboost-json1.81-dev libboost-thread1.81-dev
    libgrpc++-dev protobuf-compiler-grpc protobuf-compiler libprotobuf-dev
    prometheus-cpp-dev libabsl-dev doctest-dev liburcu-dev libxxhash-dev librapidcheck-dev
    libssl-dev libedit-dev
)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
echo "Installing: ${missing[*]}"
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
