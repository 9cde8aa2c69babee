#!/usr/bin/env bash
# build-2.sh - builds the stand-ins of review/4 and later into target/review-2/. Needs gcc and GLib,
# which the deploy file names.
set -eu
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
read -ra cflags <<<"$(pkg-config --cflags glib-2.0)"
read -ra libs <<<"$(pkg-config --libs glib-2.0)"
for source in review/standin-2/case-*.c; do
  name=$(basename "$source" .c)
  gcc -std=gnu11 -O1 -Wall -Wextra "${cflags[@]}" -o "$out/$name" "$source" review/standin-2/kit.c \
    "${libs[@]}" -lpthread
done
