#!/usr/bin/env bash
# ends.sh - foxtailgraded with engines that crash on a certain prompt. TAP.
#
# A request crashes each engine that runs it, which breaks off other streams. Its caller is answered
# that the outcome is unknown and sends it again to another instance, under another id. Guards
# against instances that each see one crash and take it for the engine's own fault.
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/cluster.sh
dir=$(mktemp -d)
trap 'touch "$dir/over"; cluster_stop; rm -rf "$dir"' EXIT
trap 'exit 1' TERM INT
ATTEMPTS=12
CRASHES_MAX=6 # three until the prompt is quarantined, three more ever
count=0
failed=0

ok () { # STATUS NAME
  count=$((count + 1))
  if [ "$1" = 0 ]; then echo "ok $count - $2"; else echo "not ok $count - $2"; failed=1; fi
}

engine () { # NAME PORT: restarts the engine whenever it exits, and writes a line for each start
  while [ ! -e "$dir/over" ]; do
    echo started >>"$dir/$1.starts"
    "$BUILD/foxtailstandin" engine --port "$2" --name "$1" --ends-on marked >/dev/null 2>&1 &
    echo $! >"$dir/$1.pid"
    wait $!
    sleep 0.3
  done
}

starts () {
  cat "$dir"/*.starts | wc -l
}

ask () { # INSTANCE PROMPT [SYSTEM_PROMPT]
  local system=""
  [ -z "${3:-}" ] || system="{\"role\":\"system\",\"content\":\"$3\"},"
  curl -s -m 20 -w ' %{http_code}' -H 'Authorization: Bearer kalkhaus-key' -H 'X-Class: dealer-question' \
    -d "{\"model\":\"standin\",\"max_tokens\":3,\"messages\":[$system{\"role\":\"user\",\"content\":\"$2\"}]}" \
    "http://127.0.0.1:$((BASE + $1))/v1/chat/completions"
}

echo "1..8"
cluster_start "$dir" 3 3 || exit 1
kill -KILL "$FAST_PID" "$SLOW_PID"
sleep 0.2
for name in fast slow; do
  engine $name $((BASE + 51 + $([ $name = slow ] && echo 1 || echo 0))) &
  CLUSTER_PIDS+=($!)
done
for _ in $(seq 1 100); do
  cluster_cli 1 apply etc/catalogue.json --id first --wait >"$dir/apply.out" 2>&1 && break
  sleep 0.2
done
cluster_ready 30
cluster_wait_http "http://127.0.0.1:$((BASE + 51))/stats" 10
cluster_wait_http "http://127.0.0.1:$((BASE + 52))/stats" 10
before=$(starts)
quarantined=0
for i in $(seq 1 $ATTEMPTS); do
  ask $(((i - 1) % 3 + 1)) "marked one" >"$dir/answer"
  if grep -q '"quarantined"' "$dir/answer"; then quarantined=$((quarantined + 1)); fi
  sleep 1.2
done
crashes=$(($(starts) - before))
echo "# $crashes engine crashes, $quarantined of $ATTEMPTS requests were refused"
[ "$crashes" -ge 3 ] && [ "$crashes" -le $CRASHES_MAX ]
ok $? "a request ends no more than $CRASHES_MAX engines"
grep -q ' 503$' "$dir/answer" && grep -q '"ran": *"no"' "$dir/answer"
ok $? "then it is refused, as not run"
cluster_cli 2 suspects >"$dir/suspects" 2>&1
grep -q '"quarantined":true' <(tr -d ' \n' <"$dir/suspects")
ok $? "operators see it"
for _ in $(seq 1 50); do
  ask 2 "another" >"$dir/answer"
  grep -q ' 200$' "$dir/answer" && break
  sleep 0.2
done
grep -q ' 200$' "$dir/answer"
ok $? "others are answered"
content=$(tr -d ' \n' <"$dir/suspects" | grep -o '"content":"[0-9a-f]*","quarantined":true' | cut -d'"' -f4)
cluster_cli 3 release "$content" >"$dir/release" 2>&1
before=$(starts)
for _ in $(seq 1 50); do
  ask 1 "marked one" >"$dir/answer"
  [ "$(starts)" -gt "$before" ] && break
  sleep 0.3
done
[ "$(starts)" -gt "$before" ]
ok $? "once it is let go it is sent again"

# Prompts that share a section which crashes engines, and are not alike otherwise. Each prompt was
# another content, so that engine after engine crashed.
common=$(printf 'common %.0s' $(seq 1 50))
section=$(printf 'MARKED %.0s' $(seq 1 50) | tr A-Z a-z)
other=$(printf 'others %.0s' $(seq 1 50))
before=$(starts)
quarantined=0
for i in $(seq 1 $ATTEMPTS); do
  ask $(((i - 1) % 3 + 1)) "question $i" "$common$section" >"$dir/answer"
  if grep -q '"quarantined"' "$dir/answer"; then quarantined=$((quarantined + 1)); fi
  ask $((i % 3 + 1)) "question $i" "$common$other" >/dev/null
  sleep 1.2
done
crashes=$(($(starts) - before))
echo "# $crashes engine crashes, $quarantined of $ATTEMPTS requests with the section were refused"
[ "$crashes" -ge 3 ] && [ "$crashes" -le $CRASHES_MAX ]
ok $? "a section of prompts ends no more than $CRASHES_MAX engines"
grep -q ' 503$' "$dir/answer" && grep -q '"ran": *"no"' "$dir/answer"
ok $? "then prompts with it are refused, as not run"
for _ in $(seq 1 50); do
  ask 3 "question" "$common$other" >"$dir/answer"
  grep -q ' 200$' "$dir/answer" && break
  sleep 0.2
done
grep -q ' 200$' "$dir/answer"
ok $? "prompts with the same beginning are answered"
touch "$dir/over"
kill -KILL $(cat "$dir"/*.pid) 2>/dev/null
exit $failed
