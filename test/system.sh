#!/usr/bin/env bash
# system.sh - the real programs under SIGKILL, SIGSTOP, SIGTERM and stalled connections. TAP.
#
# foxtailload checks the text of every answer that callers get, and the stand-ins count requests that
# ran twice. No result depends on how long anything takes.
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/cluster.sh
dir=$(mktemp -d)
trap 'cluster_stop; rm -rf "$dir"' EXIT
trap 'exit 1' TERM INT
IDLE_S=2
count=0
failed=0

ok () { # STATUS NAME
  count=$((count + 1))
  if [ "$1" = 0 ]; then echo "ok $count - $2"; else echo "not ok $count - $2"; failed=1; fi
}

load () { # NAME SECONDS RATE
  # shellcheck disable=SC2046
  "$BUILD/foxtailload" $(cluster_entries) $(cluster_standins) --name "$1" -k kalkhaus-key \
    -r "$3" -t "$2" --service-path /booking/visits \
    -c switching-note:1:10:60:40 -c dealer-question:2:40:100:40 -c booking:2:15:20:1:service \
    -c netlist-review:3:10:600:80 -c summary:4:15:300:60 -c report:5:10:500:120 >"$dir/$1.out" 2>&1
}

verdict () { # NAME TEST [UNWANTED]
  sed 's/^/# /' "$dir/$1.out"
  grep -q ', 0 lost, 0 doubled, 0 cut$' "$dir/$1.out"
  local status=$?
  [ $# -gt 2 ] && grep -q "$3" "$dir/$1.out" && status=1
  ok $status "$2"
}

answered () { # NAME
  sed -n 's/.* \([0-9]*\) answered whole.*/\1/p' "$dir/$1.out"
}

echo "1..11"
cluster_start "$dir" 3 3 || exit 1
cluster_wait_http "http://127.0.0.1:$((BASE + 1))/healthz" 20
for _ in $(seq 1 100); do
  cluster_cli 1 apply etc/catalogue.json --id first --wait >"$dir/apply.out" 2>&1 && break
  sleep 0.2
done
grep -q 'in force on every instance' "$dir/apply.out"
ok $? "a catalogue is applied and in force everywhere"
cluster_ready 30

# Backend connections stop carrying data without being closed, as when a device on the path drops
# their state. New connections work, so each stream resumes there with its next piece.
load silent 8 15 &
load_pid=$!
sleep 2
curl -s -X POST -o /dev/null "http://127.0.0.1:$((BASE + 51))/control?mute=1"
curl -s -X POST -o /dev/null "http://127.0.0.1:$((BASE + 52))/control?mute=1"
wait $load_pid
verdict silent "silent backend connections are replaced, answers whole" "[0-9] unknown,"
curl -s -X POST -o /dev/null "http://127.0.0.1:$((BASE + 51))/control?mute=0"
curl -s -X POST -o /dev/null "http://127.0.0.1:$((BASE + 52))/control?mute=0"

# Each instance is killed in turn with requests in it, and restarted; one of them holds the pool's
# lease, one is the leader. Callers get an answer, a refusal of what did not run, or "unknown".
load kill 24 15 &
load_pid=$!
for i in 1 2 3; do
  sleep 3
  kill -KILL "${INSTANCE_PID[$i]}"
  sleep 3
  cluster_instance "$i"
  sleep 1
done
wait $load_pid
verdict kill "SIGKILL of each instance in turn: nothing lost, doubled or cut"
[ "$(answered kill)" -gt 50 ]
ok $? "requests were answered meanwhile"
cluster_ready 30

# An instance is stopped for 20 s and continued; it may still believe that it is in charge.
load stop 26 10 &
load_pid=$!
sleep 2
kill -STOP "${INSTANCE_PID[2]}"
sleep 20
kill -CONT "${INSTANCE_PID[2]}"
wait $load_pid
verdict stop "SIGSTOP for 20 s: nothing lost, doubled or cut"
cluster_ready 30

# Each instance is shut down and restarted in turn: requests in flight are answered completely.
load term 20 12 &
load_pid=$!
exit_failed=0
for i in 1 2 3; do
  sleep 2
  kill -TERM "${INSTANCE_PID[$i]}"
  sleep 0.2
  kill -TERM "${INSTANCE_PID[$i]}" 2>/dev/null # a second SIGTERM must not abort requests either
  for _ in $(seq 1 200); do cluster_alive "${INSTANCE_PID[$i]}" || break; sleep 0.1; done
  cluster_alive "${INSTANCE_PID[$i]}" && exit_failed=1
  grep -q '"event":"stop","text":"all requests ended"' "$dir/instance$i.log" || exit_failed=1
  cluster_instance "$i"
  cluster_wait_http "http://127.0.0.1:$((BASE + i))/readyz" 20
done
wait $load_pid
verdict term "SIGTERM to each instance in turn cuts nothing" "[0-9] unknown,"
ok $exit_failed "each instance ended by itself"

# The time between two pieces, and for a whole answer, is longer than idle_s (2 here), after which
# idle connections are closed: no connection with a request in progress may be closed.
for engine in 1 2; do curl -s -X POST -o /dev/null "http://127.0.0.1:$((BASE + 50 + engine))/control?slow=300"; done
ask () { # STREAM
  curl -sN -H 'Authorization: Bearer kalkhaus-key' -H 'X-Class: report' \
    -d "{\"model\":\"standin\",\"stream\":$1,\"max_tokens\":2,\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}" \
    "http://127.0.0.1:$((BASE + 1))/v1/chat/completions"
}
ask true | tail -2 | grep -q '^data: \[DONE\]$'
ok $? "a stream with long silences ends whole"
ask false | grep -q '"content":"w0 w1 "'
ok $? "an answer that takes long comes whole"
for engine in 1 2; do curl -s -X POST -o /dev/null "http://127.0.0.1:$((BASE + 50 + engine))/control?slow=1"; done

# The same booking is sent to two instances: it runs once, and both give the same answer.
first=$(curl -s -X POST -H 'Authorization: Bearer kalkhaus-key' -H 'Idempotency-Key: van-1' -d visit "http://127.0.0.1:$((BASE + 1))/booking/x")
second=$(curl -s -X POST -H 'Authorization: Bearer kalkhaus-key' -H 'Idempotency-Key: van-1' -d visit "http://127.0.0.1:$((BASE + 2))/booking/x")
[ -n "$first" ] && [ "$first" = "$second" ]
ok $? "a repeated booking gets the same answer and runs once"

# A refusal is looked up at another instance.
id=$(curl -s -X POST -H 'Authorization: Bearer kalkhaus-key' -H 'X-Class: nothing' -d x "http://127.0.0.1:$((BASE + 1))/booking/x" | sed -n 's/.*"id":"\([^"]*\)".*/\1/p')
for _ in $(seq 1 50); do
  cluster_cli 3 explain "$id" >"$dir/explain.out" 2>&1 && break
  sleep 0.2
done
grep -q '"ran": *"no"' "$dir/explain.out" && grep -q 'no-such-class' "$dir/explain.out"
ok $? "a refusal is explained by another instance"
exit $failed
