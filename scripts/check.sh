#!/usr/bin/env bash
# check.sh - runs all tests with prove. Cases listed in KNOWN-RED.txt are left out there; they run
# first, and their results are only printed.
set -u
BUILD=${BUILD:-build}
export BUILD
scripts/known-red.sh
exec prove --jobs 2 --timer --merge -e scripts/run-test.sh "$BUILD/test-pool" "$BUILD/test-text" "$BUILD/test-membound" "$BUILD/test-streamcheck" "$BUILD/test-threads" "$BUILD/scenario" \
  "$BUILD/torture" "$BUILD/test-decide" "$BUILD/test-events" "$BUILD/test-blame" "$BUILD/test-attribution" "$BUILD/test-rollout" "$BUILD/test-listed" "$BUILD/test-sched" "$BUILD/test-bound" "$BUILD/test-origdir" "$BUILD/test-returns" "$BUILD/test-shares" "$BUILD/test-health" "$BUILD/test-pace" "$BUILD/test-backoff" "$BUILD/test-adapter" "$BUILD/test-jlog" "$BUILD/test-publish" "$BUILD/test-greet" "$BUILD/test-list" "$BUILD/test-place" "$BUILD/test-handover" "$BUILD/test-witness" "$BUILD/test-found" "$BUILD/test-stall" "$BUILD/test-logbytes" "$BUILD/test-delta" "$BUILD/test-reuse" "$BUILD/test-wire" "$BUILD/test-older" "$BUILD/test-relay" "$BUILD/test-paths" "$BUILD/test-relays" "$BUILD/test-node" "$BUILD/test-slow" "$BUILD/test-brittle-sched" "$BUILD/test-brittle" "$BUILD/test-silence" "$BUILD/test-begun" "$BUILD/test-cutoff" "$BUILD/test-ends" "$BUILD/test-fatal" "$BUILD/test-exits" "$BUILD/test-exitsoak" "$BUILD/test-limits" "$BUILD/test-versions" "$BUILD/test-tenants" "$BUILD/test-parts" "$BUILD/test-skew" "$BUILD/test-unframed" "$BUILD/test-lostends" "$BUILD/test-latechecks" "$BUILD/test-lostsoak" "$BUILD/test-stops" "$BUILD/test-repeats" "$BUILD/test-origins" "$BUILD/test-joined" "$BUILD/test-outofstep" "$BUILD/test-cutaway" "$BUILD/test-endless" "$BUILD/test-broken" "$BUILD/test-upload" "$BUILD/test-grace" "$BUILD/test-rolls" "$BUILD/test-notices" \
  test/resume.sh test/stop.sh test/stops.sh test/broken.sh test/endless.sh test/losses.sh test/ends.sh test/backoff.sh test/soak.sh test/capacity.sh test/tls.sh test/ports.sh test/system.sh
