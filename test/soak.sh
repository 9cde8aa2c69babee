#!/usr/bin/env bash
# soak.sh - a short run of test-soak for CI: all seeds that ever failed, and seeds 1 to 3.
exec "$BUILD/test-soak" 4 $(grep -v '^#' test/soak-seeds.txt | cut -d' ' -f1) 1 2 3
