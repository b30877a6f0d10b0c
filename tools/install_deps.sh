#!/usr/bin/env bash
# Installs the Debian packages that the build needs and this machine lacks.
set -euo pipefail
PACKAGES=(
  build-essential cmake ninja-build pkg-config ccache git curl openssl python3
  clang-format clang-tidy clang-14 libclang-rt-14-dev
  libabsl-dev libmsgpack-cxx-dev prometheus-cpp-dev libyaml-cpp-dev
  libcpp-httplib-dev libdocopt-dev libeasyloggingpp-dev catch2
  nlohmann-json3-dev librapidcheck-dev libopentracing-dev libxxhash-dev
  libssl-dev libbenchmark-dev gnuplot-nox libboost-dev
)
missing=()
for package in "${PACKAGES[@]}"; do
  status=$(dpkg-query -W -f='${Status}' "$package" 2>/dev/null || true)
  [ "$status" = "install ok installed" ] || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
echo "installing: ${missing[*]}"
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
