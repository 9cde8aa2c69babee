#!/usr/bin/env bash
# latency.sh - measures the latency that one instance adds to a call of a plain service, and its
# throughput in requests per second. The instance is bound to processors 0 and 1; the client and the
# stand-in may run on any.
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/cluster.sh
dir=$(mktemp -d)
trap 'cluster_stop; rm -rf "$dir"' EXIT
trap 'exit 1' TERM INT
cluster_start "$dir" 1 1 || exit 1
taskset -acp 0,1 "${INSTANCE_PID[1]}" >/dev/null
for _ in $(seq 1 100); do
  cluster_cli 1 apply etc/catalogue.json --wait >/dev/null 2>&1 && break
  sleep 0.2
done
cluster_ready 20
sleep 1
"$BUILD/foxtailpair" --direct "http://127.0.0.1:$((BASE + 54))/records/x" \
  --through "http://127.0.0.1:$((BASE + 1))/records/x" -k kalkhaus-key -n "${PAIRS:-2000}"
