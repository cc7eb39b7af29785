#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the demo need.
set -euo pipefail
packages=(
  g++ cmake ninja-build ccache curl python3
  libcaf-dev libcapnp-dev libboost1.81-dev libboost-json1.81-dev libboost-filesystem1.81-dev
  libgoogle-glog-dev libcxxopts-dev libsodium-dev doctest-dev librapidcheck-dev libbenchmark-dev
  clang-format clang-tidy
)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
  as_root=""
  [ "$(id -u)" = 0 ] || as_root=sudo
  $as_root apt-get update -qq
  DEBIAN_FRONTEND=noninteractive $as_root apt-get install -y -qq "${missing[@]}"
fi
