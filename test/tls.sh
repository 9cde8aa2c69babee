#!/usr/bin/env bash
# tls.sh - the callers' and the operators' port over TLS, with a self-signed certificate. TAP.
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

echo "1..4"
mkdir "$dir/ca"
openssl req -x509 -newkey rsa:2048 -nodes -keyout "$dir/key.pem" -out "$dir/ca/cert.pem" -days 2 \
  -subj /CN=127.0.0.1 -addext subjectAltName=IP:127.0.0.1 2>/dev/null
SCHEME=https
EXTRA_SETTINGS="\"tls_certificate_file\": \"$dir/ca/cert.pem\", \"tls_key_file\": \"$dir/key.pem\","
cluster_start "$dir" 1 1 || exit 1
for _ in $(seq 1 100); do
  cluster_cli 1 apply etc/catalogue.json --ca-folder "$dir/ca" --wait >"$dir/apply.out" 2>&1 && break
  sleep 0.2
done
grep -q 'in force on every instance' "$dir/apply.out"
ok $? 1 "the command line reaches the operators' port by TLS"
cluster_ready 20
# shellcheck disable=SC2046
"$BUILD/foxtailload" $(cluster_entries) --ca-folder "$dir/ca" -k kalkhaus-key -r 10 -t 2 \
  -c dealer-question:2:40:100:20 2>/dev/null | grep -q ', 0 lost, 0 doubled, 0 cut$'
ok $? 2 "callers get whole answers by TLS"
cluster_cli 1 status >/dev/null 2>&1
[ $? != 0 ]
ok $? 3 "without the certificate the command line trusts nobody"
curl -s -m 2 -o /dev/null "http://127.0.0.1:$((BASE + 1))/healthz"
[ $? != 0 ]
ok $? 4 "plain HTTP is not answered"
exit $failed
