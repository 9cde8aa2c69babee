#!/usr/bin/env bash
# check.sh - runs all tests through prove. KNOWN-RED.txt, when it exists, lists failing ones.
set -u
BUILD=${BUILD:-build}
export BUILD
exec prove --timer --merge -e '' "$BUILD/test-pool" "$BUILD/test-text" "$BUILD/test-threads" "$BUILD/scenario" \
  "$BUILD/torture" "$BUILD/test-decide" "$BUILD/test-sched" "$BUILD/test-health" "$BUILD/test-adapter" "$BUILD/test-jlog" "$BUILD/test-publish" "$BUILD/test-list" "$BUILD/test-place" "$BUILD/test-found" "$BUILD/test-wire" "$BUILD/test-node" \
  test/losses.sh test/soak.sh test/capacity.sh test/tls.sh test/ports.sh test/system.sh
