#!/usr/bin/env bash
# run.sh - plays case 7 on loopback; TROUBLE=0 leaves out the disruption. See claim.txt.
# What was sent, answered and run goes to record.txt beside this file.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/foxtailnode ] || [ ! -x target/review-2/case-7 ]; then
  echo "build by deploy/system.toml and review/build-2.sh first"
  exit 2
fi
exec target/review-2/case-7 review/7
