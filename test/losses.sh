#!/usr/bin/env bash
# losses.sh - checks the counts that scripts/losses.pl makes from a log, and its errors. TAP.
set -u
cd "$(dirname "$0")/.." || exit 1
failed=0
check () { # NAME EXPECTED GOT
  if [ "$2" = "$3" ]; then echo "ok - $1"; else echo "not ok - $1"; printf '# wanted: %s\n# got: %s\n' "$2" "$3"; failed=1; fi
}
end () { # AT EVENT WHY STATUS EVENTS FIRST SENT PAUSE
  printf '{"at":%s,"node":"n","event":"%s","request":"r","status":%s,"why":"%s","route":"a","events":%s,"first_ms":%s,"aim_ms":800,"sent_ms":%s,"prompt":900,"most":10,"pause_ms":%s}\n' \
    "$1" "$2" "$4" "$3" "$5" "$6" "$7" "$8"
}
log=$(end 10.1 answer '' 200 5 300 10 40; end 10.2 answer '' 200 5 900 700 40; end 10.3 answer '' 200 5 900 20 40
      end 12.5 answer '' 200 5 300 10 600; end 12.6 answer '' 500 0 300 10 0; end 12.7 left '' 0 0 -1 -1 0
      end 13.0 refuse shortage 503 0 -1 -1 0; echo '  3.5 node-1 {"at":13.1,"event":"charge"}')
got=$(echo "$log" | sed 's/^/ 1.5 entry-1 /' | scripts/losses.pl | awk '$1 == "a" { $1 = ""; print }' | sort | tr '\n' ';')
check "one of each cause" " late, a pause 1 0.1429; late, at the server 1 0.1429; late, waited for a place 1 0.1429; left before the answer 1 0.1429; refuse shortage 1 0.1429; server's failure 500 1 0.1429;" "$got"
got=$(echo "$log" | scripts/losses.pl --pause 700 | grep -c 'a pause')
check "the bound of a pause is the caller's" 0 "$got"
got=$(echo "$log" | scripts/losses.pl | awk '$1 == 0 || $1 == 2 { print $1, $2 }' | tr '\n' ';')
check "by time" "0 0.6667;2 1.0000;" "$got"
echo nothing | scripts/losses.pl 2>/dev/null
check "a log without requests is an error" 255 "$?"
scripts/losses.pl --pause soon /dev/null 2>/dev/null
check "a bound that is no number is an error" 255 "$?"
echo "1..5"
exit $failed
