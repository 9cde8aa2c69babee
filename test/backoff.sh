#!/usr/bin/env bash
# backoff.sh - foxtailgraded with an engine that refuses requests for a given time (503 with
# Retry-After): instances must not send it more in that time. TAP.
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/cluster.sh
dir=$(mktemp -d)
trap 'cluster_stop; rm -rf "$dir"' EXIT
trap 'exit 1' TERM INT
count=0
failed=0

ok () { # STATUS NAME
  count=$((count + 1))
  if [ "$1" = 0 ]; then echo "ok $count - $2"; else echo "not ok $count - $2"; failed=1; fi
}

refused_count () {
  curl -s "http://127.0.0.1:$((BASE + 51))/stats" | grep -o '"turned_away":[0-9]*' | cut -d: -f2
}

ask () { # INSTANCE
  curl -s -m 20 -o /dev/null -w '%{http_code}\n' -H 'Authorization: Bearer kalkhaus-key' \
    -H 'X-Class: dealer-question' \
    -d '{"model":"standin","max_tokens":3,"messages":[{"role":"user","content":"a"}]}' \
    "http://127.0.0.1:$((BASE + $1))/v1/chat/completions"
}

echo "1..2"
cluster_start "$dir" 3 3 || exit 1
for _ in $(seq 1 100); do
  cluster_cli 1 apply etc/catalogue.json --id first --wait >"$dir/apply.out" 2>&1 && break
  sleep 0.2
done
cluster_ready 30
curl -s -X POST "http://127.0.0.1:$((BASE + 51))/control?backoff=600" >/dev/null
for i in $(seq 1 60); do ask $((i % 3 + 1)); done >"$dir/answers"
refused=$(refused_count)
echo "# the engine refused $refused requests; answers: $(sort "$dir/answers" | uniq -c | tr '\n' ' ')"
[ "$refused" -ge 1 ] && [ "$refused" -le 3 ]
ok $? "each instance sends it one request"
[ "$(grep -c 200 "$dir/answers")" -ge 57 ]
ok $? "the other engine serves meanwhile"
exit $failed
