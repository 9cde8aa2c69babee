# rawback.sh - for tests of foxtailgraded beside test-rawback: sourced after cluster.sh, with dir set.
# shellcheck shell=bash
WHOLE='the whole answer'
count=0
failed=0

ok () { # STATUS NAME
  count=$((count + 1))
  if [ "$1" = 0 ]; then echo "ok $count - $2"; else echo "not ok $count - $2"; failed=1; fi
}

# The only server of the chat engines and of the records service is the one of raw bytes.
use_raw_server () {
  cluster_spawn "$DIR/raw.log" "$BUILD/test-rawback" $((BASE + 60))
  cat >"$DIR/platform.json" <<JSON
{ "instances": [
  { "pool": "chat", "name": "raw", "address": "127.0.0.1:$((BASE + 60))", "state": "live", "incarnation": 1, "failure_domain": "fd1" },
  { "pool": "records", "name": "raws", "address": "127.0.0.1:$((BASE + 60))", "state": "live", "incarnation": 1, "failure_domain": "fd3" }
] }
JSON
  for _ in $(seq 1 100); do
    sleep 0.1
    [ "$(ask_service stop/length/whole/0)" = "200 0 $WHOLE" ] && return 0
  done
  return 1
}

ask_service () { # WHAT: prints the status, the result of curl and the body
  local code result body=$dir/body.$BASHPID
  : >"$body"
  code=$(curl -s -m 20 -o "$body" -w '%{http_code}' -H 'Authorization: Bearer kalkhaus-key' \
    "http://127.0.0.1:$((BASE + 1))/records/$1")
  result=$?
  echo "$code $result $(cat "$body" 2>/dev/null)"
  rm -f "$body"
}

ask_engine () { # WHAT: prints the same of a stream, its content only
  local code result body=$dir/body.$BASHPID
  : >"$body"
  code=$(curl -sN -m 20 -o "$body" -w '%{http_code}' -H 'Authorization: Bearer kalkhaus-key' \
    -d "{\"model\":\"standin\",\"stream\":true,\"max_tokens\":3,\"messages\":[{\"role\":\"user\",\"content\":\"$1\"}]}" \
    "http://127.0.0.1:$((BASE + 1))/v1/chat/completions")
  result=$?
  echo "$code $result $(grep -o '"content":"[^"]*"\|\[DONE\]\|^event: error' "$body" | cut -d: -f2 | tr -d '"\n')"
  rm -f "$body"
}

wait_asked () {
  local pid
  for pid in $(jobs -p); do wait "$pid"; done
}
