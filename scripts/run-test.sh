#!/usr/bin/env bash
# run-test.sh PROGRAM - runs a test program without the cases that KNOWN-RED.txt lists for it.
skip=()
while read -r program case; do
  [ "$program" = "$(basename "$1")" ] && skip+=(-s "$case")
done < <(sed -n 's/^test: //p' KNOWN-RED.txt 2>/dev/null)
# A test's files lie in memory where that can be had: other users of the disk make no verdict.
[ -n "${TMPDIR:-}" ] || { [ -d /dev/shm ] && [ -w /dev/shm ] && export TMPDIR=/dev/shm; }
exec "$1" "${skip[@]}"
