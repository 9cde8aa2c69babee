#!/usr/bin/env bash
# capacity.sh - checks that "foxtailbench slopes" gives the slopes in docs/slopes.csv, and that
# docs/CAPACITY.md states those of memory use. Slopes of processor time vary and are left out. TAP.
set -u
cd "$(dirname "$0")/.." || exit 1
BUILD=${BUILD:-build}
measured=$(mktemp)
trap 'rm -f "$measured"' EXIT
failed=0
echo "1..2"
"$BUILD/foxtailbench" slopes | grep -v 'ns of processor' >"$measured"
if grep -v 'ns of processor' docs/slopes.csv | diff - "$measured" | sed 's/^/# /' | grep .; then
  echo "not ok 1 - the counted slopes are those of docs/slopes.csv"; failed=1
else
  echo "ok 1 - the counted slopes are those of docs/slopes.csv"
fi
missing=0
for quantity in "bytes by servers" "bytes by requests held" "bytes by organisations seen" "bytes by claims" \
  "bytes by organisations"; do
  slope=$(grep "^fit:.*,$quantity," docs/slopes.csv | head -1 | sed 's/.* slope \([0-9.e+-]*\),.*/\1/')
  grep -q "$slope bytes" docs/CAPACITY.md || { echo "# docs/CAPACITY.md lacks $slope ($quantity)"; missing=1; }
done
if [ $missing = 0 ]; then echo "ok 2 - the page uses them"; else echo "not ok 2 - the page uses them"; failed=1; fi
exit $failed
