#!/usr/bin/env bash
# soak.sh [SECONDS] [SEEDS] [JOBS] [PROGRAM] - runs the fault injection soak test with the seeds that failed
# before, recorded in test/soak-seeds.txt, and then with SEEDS random ones. PROGRAM: test-soak, or test-lostsoak, whose
# servers are processes; no seed of it is recorded.
set -u
BUILD=${BUILD:-build}
seconds=${1:-8}
count=${2:-50}
jobs=${3:-4}
program=${4:-test-soak}
known=
[ "$program" != test-soak ] || known=$(grep -v '^#' test/soak-seeds.txt | cut -d' ' -f1)
fresh=$(shuf -i 1-1000000 -n "$count")
out=$(mktemp -d)
# shellcheck disable=SC2086
printf '%s\n' $known $fresh | xargs -P "$jobs" -I{} sh -c '"$0" "$1" {} >"$2/{}" 2>&1 || echo "seed {} failed: $2/{}"' \
  "$BUILD/$program" "$seconds" "$out"
passed=$(grep -l '^ok 1' "$out"/* | wc -l)
total=$(ls "$out" | wc -l)
echo "$passed passed, $((total - passed)) failed"
[ "$passed" = "$total" ]
