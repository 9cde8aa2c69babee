#!/usr/bin/env bash
# regression.sh [--write] LOG... - compares scores with those of docs/worth.csv, site by site.
#
# LOG: the output of `fleetbench score SITE`. Prints, for each site, the score of each day as recorded and now, and their
# mean without the quiet days; days drawn at random for that run are ignored. Exit status 1 if the mean of a site fell by
# more than 0.03; a site with a day that has no recorded score is not compared. --write records the new scores in
# docs/worth.csv.
set -u
cd "$(dirname "$0")/.." || exit 2
known=docs/worth.csv
write=no
if [ "${1:-}" = --write ]; then
  write=yes
  shift
fi
[ $# -gt 0 ] || { echo "regression.sh: no log file given" >&2; exit 2; }
now=$(mktemp) || exit 2
trap 'rm -f "$now"' EXIT
for log in "$@"; do
  [ -r "$log" ] || { echo "regression.sh: cannot read $log" >&2; exit 2; }
  awk '/^score on the standard days of/ { site = $7 }
       /^(quiet|trouble|scale)-[0-9]+ / && $2 ~ /\// { print site "," $1 "," $4 }' "$log" | sed 's/:,/,/'
done >"$now"
[ -s "$now" ] || { echo "regression.sh: the logs contain no scores" >&2; exit 2; }
awk -F, -v known="$known" '
  BEGIN { while ((getline line < known) > 0) { split (line, f, ","); before[f[1] "," f[2]] = f[3] } }
  {
    key = $1 "," $2
    was = key in before ? before[key] : "-"
    printf "%-28s %-10s %6s %6s\n", $1, $2, was, $3
    if ($2 ~ /^quiet/) next
    sum[$1] += $3; count[$1]++
    if (key in before) { old[$1] += was; had[$1]++ }
  }
  END {
    bad = 0
    for (site in sum) {
      mean = sum[site] / count[site]
      if (had[site] == count[site]) {
        was = old[site] / had[site]
        fell = was - mean > 0.03
        bad += fell
        printf "%-28s mean       %6.3f %6.3f%s\n", site, was, mean, fell ? "  FELL" : ""
      } else
        printf "%-28s mean            - %6.3f\n", site, mean
    }
    exit bad > 0
  }' "$now"
result=$?
if [ $write = yes ]; then
  { grep -v -F -f <(cut -d, -f1 "$now" | sort -u | sed 's/$/,/') "$known" 2>/dev/null; cat "$now"; } | sort -u >"$known.new" \
    && mv "$known.new" "$known"
fi
exit $result
