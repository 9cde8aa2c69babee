#!/usr/bin/env bash
# soak.sh [-s SEED].. - a short run of test-soak for CI: all seeds that ever failed, and some that together have planned
# work alone, full load, many processes, and releases with instances out of step; -s leaves one out. JOBS of
# them run at a time.
set -u
skip=()
while getopts s: _; do skip+=("$OPTARG"); done
seeds=$( (grep -v '^#' test/soak-seeds.txt | cut -d' ' -f1; printf '%s\n' 2 3 5 6 10001) | sort -nu)
for seed in "${skip[@]}"; do seeds=$(grep -vx "$seed" <<<"$seeds"); done
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
# shellcheck disable=SC2016
xargs -P "${JOBS:-3}" -I{} sh -c '"$0" 4 {} >"$1/{}" 2>&1; echo $? >"$1/{}.status"' "$BUILD/test-soak" "$out" <<<"$seeds"
echo "1..$(wc -l <<<"$seeds")"
status=0
for seed in $seeds; do
  grep '^#' "$out/$seed"
  if [ "$(cat "$out/$seed.status")" = 0 ]; then
    echo "ok - seed $seed keeps the promises"
  else
    status=1
    sed -n 's/.*ERROR \*\*: /# /p' "$out/$seed"
    echo "not ok - seed $seed"
  fi
done
exit $status
