#!/usr/bin/env bash
# ports.sh - sends 2,000 malformed inputs to each port of a running instance. TAP.
#
# The inputs are almost valid. The instance must answer malformed HTTP with a 4xx or close the
# connection, drop malformed link messages, and keep serving others.
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/cluster.sh
dir=$(mktemp -d)
trap 'cluster_stop; rm -rf "$dir"' EXIT
trap 'exit 1' TERM INT
failed=0

ok () { # STATUS NUMBER NAME
  if [ "$1" = 0 ]; then echo "ok $2 - $3"; else echo "not ok $2 - $3"; failed=1; fi
}

echo "1..5"
IDLE_S=2
cluster_start "$dir" 1 1 || exit 1
for _ in $(seq 1 100); do
  cluster_cli 1 apply etc/catalogue.json --wait >/dev/null 2>&1 && break
  sleep 0.2
done
cluster_ready 20
number=0
for port in "http $((BASE + 1))" "http $((BASE + 101))" "rpc $((BASE + 201))"; do
  number=$((number + 1))
  # shellcheck disable=SC2086
  "$BUILD/malformed" $port 2000 $number | sed 's/^/# /'
  ok "${PIPESTATUS[0]}" $number "2,000 spoilt inputs at the ${port% *} port ${port#* }"
done
cluster_alive "${INSTANCE_PID[1]}"
ok $? 4 "the instance is alive"
cluster_wait_http "http://127.0.0.1:$((BASE + 1))/readyz" 10
ok $? 5 "and ready"
grep -a -A20 'ERROR: \|runtime error' "$dir/instance1.log" | sed 's/^/# /'
grep -aq 'ERROR: AddressSanitizer\|runtime error' "$dir/instance1.log" && failed=1
exit $failed
