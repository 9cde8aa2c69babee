#!/usr/bin/env bash
# demo.sh - starts three instances, a fast and a slow engine and two services on loopback, sends
# requests of every tier and prints the results as a table. Exits non-zero if an answer was lost,
# duplicated or incomplete.
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/cluster.sh
dir=$(mktemp -d)
trap "cluster_stop; [ -n \"\${KEEP:-}\" ] || rm -rf \"$dir\"" EXIT
trap 'exit 1' TERM INT

echo "starting three instances, two engines, two services"
cluster_start "$dir" 3 3 || exit 1
cluster_cli 1 check etc/catalogue.json || exit 1
for _ in $(seq 1 50); do
  cluster_cli 1 apply etc/catalogue.json --id first-catalogue --author demo --wait >"$dir/apply.log" 2>&1 && break
  sleep 0.3
done
cat "$dir/apply.log"
cluster_ready 20 || exit 1
echo "sending requests of every tier for ${SECONDS_OF_LOAD:-10} s"
# shellcheck disable=SC2046
"$BUILD/foxtailload" $(cluster_entries) $(cluster_standins) --name demo -k kalkhaus-key \
  -r "${RATE:-40}" -t "${SECONDS_OF_LOAD:-10}" --service-path /booking/visits \
  -c switching-note:1:10:60:40 -c dealer-question:2:40:100:40 -c booking:2:10:20:1:service \
  -c netlist-review:3:15:1500:120 -c summary:4:15:400:60 -c report:5:10:800:300
