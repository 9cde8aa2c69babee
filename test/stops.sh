#!/usr/bin/env bash
# stops.sh - foxtailgraded with backend servers that stop at each byte of an answer: no caller is
# told that a part of an answer is the whole. TAP.
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/cluster.sh
. scripts/rawback.sh
dir=$(mktemp -d)
trap 'cluster_stop; rm -rf "$dir"' EXIT
trap 'exit 1' TERM INT
EXTRA_SETTINGS='"silence_ms": 500,'

PLACES_MIN=50 # fewer than the bytes of the shortest answer

# Plays each place of a stop, some at the same time, and prints what a caller must not get.
play () { # ask_service|ask_engine KIND HOW LAST
  local at
  for at in $(seq 0 "$4"); do
    (printf '%s: %s\n' "$at" "$("$1" "stop/$2/$3/$at")") &
    [ $((at % 12)) = 11 ] && wait_asked
  done >"$dir/played"
  wait_asked
  awk '{ seen[$2 " " $3]++ } END { for (s in seen) printf "# %s %s: %d times status and curl %s\n", kind, how, seen[s], s }' \
    kind="$2" how="$3" "$dir/played"
}

# True if the server stopped its answers at each place below the length of the whole one.
stops_took_effect () { # plain|stream KIND HOW LAST
  local places longest
  places=$(grep "^stopped $1/$2/$3/" "$DIR/raw.log" | sort -u | wc -l)
  longest=$(sed -n "s,^stopped $1/$2/$3/,,p" "$DIR/raw.log" | sort -n | tail -1)
  echo "# $2 $3: stopped at $places places of $(($4 + 1))"
  [ "$places" -gt $PLACES_MIN ] && [ "$places" = $((longest + 1)) ]
}

echo "1..21"
cluster_start "$dir" 1 1 || exit 1
for _ in $(seq 1 100); do
  cluster_cli 1 apply etc/catalogue.json --id first --wait >"$dir/apply.out" 2>&1 && break
  sleep 0.2
done
cluster_ready 30
use_raw_server
ok $? "the server of raw bytes is used"
for kind in length interim chunked unframed; do
  for how in close reset; do
    play ask_service $kind $how 160
    grep ': 200 0 ' "$dir/played" | grep -v ": 200 0 $WHOLE\$" >"$dir/wrong"
    sort -n "$dir/wrong" | sed -n '1p;$p' | sed 's/^/# wrong: /'
    stops_took_effect plain $kind $how 160 && [ ! -s "$dir/wrong" ] && [ "$(wc -l <"$dir/played")" = 161 ]
    ok $? "a service's answer ($kind) that stops with a $how is not told as whole"
    [ $kind = unframed ] && continue
    grep -q "^160: 200 0 $WHOLE\$" "$dir/played"
    ok $? "a service's whole answer ($kind) arrives before a $how"
  done
done
for kind in length chunked unframed; do
  for how in close reset; do
    play ask_engine $kind $how 260
    grep -v ': 200 0 w0 w1 w2 \[DONE\]$' "$dir/played" >"$dir/wrong"
    sort -n "$dir/wrong" | sed -n '1p;$p' | sed 's/^/# wrong: /'
    stops_took_effect stream $kind $how 260 && [ ! -s "$dir/wrong" ] && [ "$(wc -l <"$dir/played")" = 261 ]
    ok $? "an engine's stream ($kind) that stops with a $how is completed"
  done
done
exit $failed
