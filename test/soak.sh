#!/usr/bin/env bash
# soak.sh - a short soak for CI: the seeds that ever failed and three more.
exec "$BUILD/test-soak" 4 $(grep -v '^#' test/soak-seeds.txt | cut -d' ' -f1) 1 2 3
