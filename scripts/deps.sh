#!/usr/bin/env bash
# deps.sh - installs those Debian packages for building, testing and linting that are missing.
set -eu
packages="gcc make cmake pkg-config curl openssl perl clang-format clang-tidy cppcheck libc6-dev
  libulfius-dev libtirpc-dev libargtable2-dev libjson-c-dev liblog4c-dev libglib2.0-dev liburcu-dev
  libxxhash-dev libhttp-parser-dev zlib1g-dev liblua5.4-dev libgnutls28-dev"
missing=""
for package in $packages; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing="$missing $package"
done
[ -n "$missing" ] || exit 0
echo "installing:$missing"
sudo=""
[ "$(id -u)" = 0 ] || sudo=sudo
export DEBIAN_FRONTEND=noninteractive
$sudo apt-get update -qq
# shellcheck disable=SC2086
$sudo apt-get install -y -qq --no-install-recommends $missing >/dev/null
