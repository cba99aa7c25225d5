#!/usr/bin/env bash
# Runs the case; see claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../../.." || exit 2
timeout --kill-after=5 110 build/review/odd-ids review/outside/odd-ids/record.txt
case $? in
  0) exit 0 ;;
  1) exit 1 ;;
  *) exit 2 ;;
esac
