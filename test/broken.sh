#!/usr/bin/env bash
# broken.sh - foxtailgraded with backend servers whose answers have heads that are not valid
# HTTP/1.1: no caller gets such an answer, and valid ones of a rare form arrive. TAP.
set -u
cd "$(dirname "$0")/.." || exit 1
. scripts/cluster.sh
. scripts/rawback.sh
dir=$(mktemp -d)
trap 'cluster_stop; rm -rf "$dir"' EXIT
trap 'exit 1' TERM INT
EXTRA_SETTINGS='"silence_ms": 500,'
ODD='the odd answer'

# What callers get for each head: lines "NUMBER: STATUS CURL-RESULT BODY".
play_heads () { # ask_service|ask_engine TYPE
  local number name
  : >"$DIR/raw.log"
  while read -r number name _; do
    (printf '%s: %s\n' "$number" "$("$1" "head/$number/$2")") &
    [ $((number % 12)) = 11 ] && wait_asked
  done <"$dir/heads" >"$dir/played"
  wait_asked
}

# Compares with the lines wanted and prints those that differ.
check_heads () { # NAME
  sort -n "$dir/played" | sed 's/ *$//' >"$dir/got"
  diff <(sort -n "$dir/wanted" | sed 's/ *$//') "$dir/got" >"$dir/wrong"
  local differs=$? sent
  grep '^>' "$dir/wrong" | sed 's/^> //' | while IFS=: read -r number got; do
    echo "# $(sed -n "s/^$number \([^ ]*\) .*/\1/p" "$dir/heads"):$got"
  done
  sent=$(grep '^head ' "$DIR/raw.log" | sort -u | wc -l)
  echo "# $1: $sent heads were sent"
  [ $differs = 0 ] && [ "$sent" = "$(wc -l <"$dir/heads")" ]
  ok $? "$1"
}

echo "1..6"
"$BUILD/test-rawback" heads >"$dir/heads"
cluster_start "$dir" 1 1 || exit 1
for _ in $(seq 1 100); do
  cluster_cli 1 apply etc/catalogue.json --id first --wait >"$dir/apply.out" 2>&1 && break
  sleep 0.2
done
cluster_ready 30
use_raw_server
ok $? "the server of raw bytes is used"

# The body of an answer of this instance's own is a problem document.
while read -r number _ status framing; do
  case "$status $framing" in
    0*|*unframed) echo "$number: 502 0 problem" ;;
    *empty) echo "$number: $status 0" ;;
    *) echo "$number: $status 0 $ODD" ;;
  esac
done <"$dir/heads" >"$dir/wanted"
play_heads ask_service other
sed -i 's/\(: 502 0 \){.*/\1problem/' "$dir/played"
check_heads "a service's answer whose head is not valid is not passed on"

# An engine's stream goes on by a resume, whose text is another, unless its status is an error.
wanted_of_engine () { # TEXT-OF-THE-FIRST-ANSWER
  while read -r number _ status framing; do
    case "$status $framing" in
      200*) echo "$number: 200 0 $1" ;;
      4*) echo "$number: 502 0" ;;
      *) echo "$number: 200 0 w0 w1 w2 [DONE]" ;;
    esac
  done <"$dir/heads" >"$dir/wanted"
}
wanted_of_engine 'x0 x1 x2 [DONE]'
play_heads ask_engine event
check_heads "an engine's stream whose head is not valid is not passed on"
play_heads ask_engine none
check_heads "an engine's stream without a type is read as events"
wanted_of_engine 'w0 w1 w2 [DONE]'
play_heads ask_engine other
check_heads "an engine's answer of another type is not passed on"

# The operators' client prints an answer of status 200 and fails on any other.
ask_client () { # WHAT: prints the exit status and the output
  local out
  out=$("$BUILD/foxtailgrade" --server "http://127.0.0.1:$((BASE + 60))/$1" --key-file "$DIR/operator.key" status 2>/dev/null)
  echo "$? $out"
}
while read -r number _ status framing; do
  case "$status $framing" in
    200*) echo "$number: 0 $ODD" ;;
    0*|*empty) echo "$number: 1" ;;
    *) echo "$number: 1 $ODD" ;;
  esac
done <"$dir/heads" >"$dir/wanted"
play_heads ask_client other
check_heads "an answer whose head is not valid is not printed by the operators' client"
exit $failed
