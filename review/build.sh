#!/bin/bash
# Builds the programs of the cases into target/review, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
packages="glib-2.0 json-c libxxhash libtirpc"
for source in review/[0-9]/case.c; do
  number=$(basename "$(dirname "$source")")
  gcc -std=gnu11 -O2 -g -Wall -Wextra -D_GNU_SOURCE -Ireview/standin -Isrc -Inet \
    $(pkg-config --cflags $packages) -o "target/review/case-$number" \
    "$source" review/standin/*.c target/libnet.a target/libfoxtail.a \
    $(pkg-config --libs $packages) -lhttp_parser -lpthread -lm
done
