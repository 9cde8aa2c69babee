#!/usr/bin/env bash
# endless.sh - foxtailgraded with backend servers that send bytes without end: its memory stays
# bounded, each such call ends, and other calls are answered meanwhile. TAP.
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/cluster.sh
. scripts/rawback.sh
dir=$(mktemp -d)
trap 'cluster_stop; rm -rf "$dir"' EXIT
trap 'exit 1' TERM INT
EXTRA_SETTINGS='"silence_ms": 500, "answer_keep_bytes": 1048576,'
CALLS=8
# In KiB: 64 MiB of answers that are being received, and as much for all else.
MEMORY_MAX=131072

peak_memory () {
  awk '/^VmHWM/ { print $2 }' "/proc/$PID/status"
}

# Runs calls of one kind at once, and others beside them.
play_flood () { # ask_service|ask_engine KIND STATUS TEXT
  local i wrong=0
  for i in $(seq "$CALLS"); do
    "$1" "flood/$2" | sed 's/x\{100,\}/x/g; s/\(x *\)\{2,\}/x /g' | cut -c1-100 >"$dir/flood.$i" &
  done
  sleep 0.3
  for i in 1 2 3; do
    [ "$(ask_service stop/length/whole/0)" = "200 0 $WHOLE" ] || wrong=$((wrong + 1))
  done
  wait_asked
  echo "# $2: $wrong of 3 others not answered; peak of memory $(peak_memory) KiB; $(sort "$dir"/flood.* | uniq -c | tr -s ' \n' ' ')"
  [ "$(grep -c "^$3 0 .*$4" "$dir"/flood.* | grep -c ':1$')" = "$CALLS" ] \
    && [ "$(grep -c "^$2\$" "$DIR/raw.log")" -ge "$CALLS" ]
  ok $? "$2: each call ends"
  [ $wrong = 0 ] && kill -0 "$PID" && [ "$(peak_memory)" -lt $MEMORY_MAX ]
  ok $? "$2: memory is bounded and others are answered"
}

echo "1..11"
cluster_start "$dir" 1 1 || exit 1
for _ in $(seq 1 100); do
  cluster_cli 1 apply etc/catalogue.json --id first --wait >"$dir/apply.out" 2>&1 && break
  sleep 0.2
done
cluster_ready 30
use_raw_server
ok $? "the server of raw bytes is used"
for PID in "${CLUSTER_PIDS[@]}"; do
  grep -q foxtailgraded "/proc/$PID/cmdline" && break
done
play_flood ask_service trailers 502 ''
play_flood ask_service body 502 ''
play_flood ask_engine comments 200 'w0 w1 w2 \[DONE\]'
play_flood ask_engine early 200 'w0 w1 w2 \[DONE\]'
play_flood ask_engine events 200 'error'
exit $failed
