#!/usr/bin/env bash
# resume.sh - foxtailgraded with engines that fail to resume a stream for a while. An answer that has
# begun must be completed as long as its engine has it. TAP.
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/cluster.sh
dir=$(mktemp -d)
trap 'cluster_stop; rm -rf "$dir"' EXIT
trap 'exit 1' TERM INT
EXTRA_SETTINGS='"silence_ms": 500,'
PIECES=100
count=0
failed=0

ok () { # STATUS NAME
  count=$((count + 1))
  if [ "$1" = 0 ]; then echo "ok $count - $2"; else echo "not ok $count - $2"; failed=1; fi
}

control () { # FAULT=VALUE...
  local engine fault
  for fault in "$@"; do
    for engine in 51 52; do
      curl -s -X POST -o /dev/null "http://127.0.0.1:$((BASE + engine))/control?$fault"
    done
  done
}

stat_sum () { # NAME: sum over both engines
  local engine sum=0
  for engine in 51 52; do
    sum=$((sum + $(curl -s "http://127.0.0.1:$((BASE + engine))/stats" | grep -o "\"$1\":[0-9]*" | cut -d: -f2)))
  done
  echo $sum
}

wait_stat () { # NAME MINIMUM
  for _ in $(seq 1 200); do
    [ "$(stat_sum "$1")" -ge "$2" ] && return 0
    sleep 0.1
  done
  echo "# $1 did not reach $2"
  return 1
}

ask () { # NAME: asks for a stream in the background and sets ASK_PID
  curl -sN -m 115 -H 'Authorization: Bearer kalkhaus-key' -H 'X-Class: report' \
    -d "{\"model\":\"standin\",\"stream\":true,\"max_tokens\":$PIECES,\"messages\":[{\"role\":\"user\",\"content\":\"$1\"}]}" \
    "http://127.0.0.1:$((BASE + 1))/v1/chat/completions" >"$dir/$1" &
  ASK_PID=$!
}

wait_begun () { # NAME
  for _ in $(seq 1 200); do
    grep -q '"w0 "' "$dir/$1" && return 0
    sleep 0.05
  done
  echo "# no first piece"
  return 1
}

is_whole () { # NAME
  wait "$ASK_PID"
  [ "$(grep -c '"content":"w' "$dir/$1")" = $PIECES ] && tail -2 "$dir/$1" | grep -q '^data: \[DONE\]$' && return 0
  grep -v '^$' "$dir/$1" | tail -2 | sed 's/^/# /'
  return 1
}

echo "1..5"
cluster_start "$dir" 1 1 || exit 1
for _ in $(seq 1 100); do
  cluster_cli 1 apply etc/catalogue.json --id first --wait >"$dir/apply.out" 2>&1 && break
  sleep 0.2
done
cluster_ready 30
control slow=4 # a stream outlasts the steps of a test

# An engine that is too busy to resume a stream still has it.
ask busy
wait_begun busy
control backoff=1 mute=1
wait_stat turned_away 1
control backoff=0
is_whole busy
ok $? "a resumption that is refused with Retry-After is tried again"
control mute=0

# The first attempt to resume hangs, the next one carries the stream, then the first one fails.
ask outdated
wait_begun outdated
held=$(stat_sum held)
control mute=1 hold=1
wait_stat held $((held + 1))
sleep 1.5
control hold=0
is_whole outdated
ok $? "an error on an outdated connection does not end the answer"
control mute=0

# The engine does not know the stream, since it has not read the request yet.
unknown=$(stat_sum unknown)
control hold=1
ask unread
wait_stat unknown $((unknown + 1))
control hold=0
is_whole unread
ok $? "an engine that has not read the request yet is not taken for restarted"
# A connection on which comments come without end carries no stream: another one does, and the first is
# closed, which would otherwise hold a thread until the time limit of its call.
ask noisy
wait_begun noisy
control noise=1 mute=1
wait_stat noisy 1
is_whole noisy && for _ in $(seq 1 50); do [ "$(stat_sum noisy)" = 0 ] && break; sleep 0.1; done
[ "$(stat_sum noisy)" = 0 ]
ok $? "a connection that carries nothing but comments is closed once another one carries the stream"
control noise=0 mute=0

# More connections in all than may fail one after another. Each brings a piece.
control slow=1 cut=1
PIECES=230
ask broken
is_whole broken
ok $? "a stream whose connection breaks after each piece is completed"
exit $failed
