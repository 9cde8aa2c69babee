#!/usr/bin/env bash
# stop.sh - foxtailgraded gets SIGTERM while a caller has not yet read its complete answer, and while
# a backend server has not answered. TAP.
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/cluster.sh
. scripts/rawback.sh
dir=$(mktemp -d)
trap 'cluster_stop; rm -rf "$dir"' EXIT
trap 'exit 1' TERM INT
SIZE=15000000 # more than the socket buffers on the way take

answered () {
  curl -s "http://127.0.0.1:$((BASE + 101))/metrics" -H 'Authorization: Bearer operator-key' |
    awk '/^foxtail_requests_answered_total/ { sum += $2 } END { print sum + 0 }'
}

echo "1..6"
cluster_start "$dir" 1 1 || exit 1
for _ in $(seq 1 100); do
  cluster_cli 1 apply etc/catalogue.json --id first --wait >"$dir/apply.out" 2>&1 && break
  sleep 0.2
done
cluster_ready 30
exec {caller}<>"/dev/tcp/127.0.0.1/$((BASE + 1))"
printf 'GET /records/size=%s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer kalkhaus-key\r\nConnection: close\r\n\r\n' \
  $SIZE >&"$caller"
for _ in $(seq 1 100); do
  [ "$(answered)" -ge 1 ] && break
  sleep 0.1
done
[ "$(answered)" -ge 1 ]
ok $? "the backend server has answered"
kill -TERM "${INSTANCE_PID[1]}"
for _ in $(seq 1 80); do # an instance that does not wait ends within this time
  cluster_alive "${INSTANCE_PID[1]}" || break
  sleep 0.1
done
received=$(timeout 60 cat <&"$caller" | sed '1,/^\r$/d' | wc -c)
echo "# $received of $SIZE bytes"
[ "$received" = $SIZE ]
ok $? "a caller gets the rest of a complete answer after SIGTERM"
for _ in $(seq 1 100); do cluster_alive "${INSTANCE_PID[1]}" || break; sleep 0.1; done
! cluster_alive "${INSTANCE_PID[1]}" && grep -q '"event":"stop","text":"all requests ended"' "$dir/instance1.log"
ok $? "the instance ends then"
cluster_stop

# Guards against requests that are cut without an answer when shutdown_s have passed.
mkdir "$dir/second"
EXTRA_SETTINGS='"shutdown_s": 3,'
cluster_start "$dir/second" 1 1 || exit 1
for _ in $(seq 1 100); do
  cluster_cli 1 apply etc/catalogue.json --id first --wait >"$dir/apply.out" 2>&1 && break
  sleep 0.2
done
cluster_ready 30
use_raw_server
ok $? "the server of raw bytes is used"
ask_service flood/silence >"$dir/silent" &
asked=$!
for _ in $(seq 1 100); do
  grep -q '^silence' "$DIR/raw.log" && break
  sleep 0.1
done
grep -q '^silence' "$DIR/raw.log" && kill -TERM "${INSTANCE_PID[1]}"
ok $? "a server that never answers has the request"
wait "$asked"
echo "# $(cut -c1-120 "$dir/silent")"
grep -q '^502 0 .*outcome-unknown' "$dir/silent"
ok $? "its caller is answered before the instance ends"
exit $failed
