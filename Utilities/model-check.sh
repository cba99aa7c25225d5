#!/usr/bin/env bash
# Runs Spin on the specifications of Tests/Specification. A correct
# configuration must pass, and one with a deliberate error must fail. Runs three
# checks at a time with at most 800 MB each. All checks take about half a minute
# on an idle machine and are aborted after 15 minutes.
set -euo pipefail
cd "$(dirname "$0")/.."
export SPEC="$PWD/Tests/Specification"
WORK=$(mktemp -d)
export WORK
trap 'rm -rf "$WORK"' EXIT

# expected result, specification, macros
cases=(
  "pass booking -DCLAIMS=2 -DASKS=1"
  "pass booking -DCLAIMS=3 -DASKS=1 -DNO_TRIM"
  "pass booking -DCLAIMS=2 -DASKS=2 -DNO_TRIM -DNO_LATE"
  "fail booking -DCLAIMS=2 -DASKS=1 -DNO_TRIM -DNO_LATE -DDISPATCH_BEFORE_COMMIT"
  "fail booking -DCLAIMS=2 -DASKS=1 -DNO_TRIM -DNO_LATE -DIGNORE_VERSION"
  "fail booking -DCLAIMS=2 -DASKS=1 -DNO_TRIM -DNO_LATE -DLOST_IS_FAILURE"
  "fail booking -DCLAIMS=2 -DASKS=1 -DNO_LATE -DTRIM_WITHOUT_MARK"
  "fail booking -DCLAIMS=2 -DASKS=1 -DNO_TRIM -DNO_LATE -DPERMIT_ANY_REQUEST"
  "fail booking -DCLAIMS=2 -DASKS=1 -DNO_TRIM -DNO_LATE -DNEW_OWNER_WITHDRAWS"
  "fail booking -DCLAIMS=2 -DASKS=1 -DNOT_RUN_AFTER_SEND"
  "fail booking -DCLAIMS=2 -DASKS=1 -DCANNOT_RUN"
  "pass lease"
  "pass lease -DFENCED"
  "fail lease -DNO_WAIT"
  "fail lease -DNO_MARGIN"
  "fail lease -DNO_GAP_CHECK"
  "fail lease -DFENCED -DNUMBER_IGNORED"
  "pass lease -DRETURN"
  "pass lease -DRETURN -DFENCED"
  "fail lease -DRETURN -DNO_RETURN_WAIT"
  "fail lease -DRETURN -DERA_IGNORED"
  "pass preset"
  "fail preset_broken_adopts_lower"
  "fail preset_broken_lost_answer"
  "fail preset_broken_no_copy"
  "fail preset_broken_unconditional"
)

# The configurations that must fail omit parts of the model that their error
# does not need, to save time.
check() {
  local expected=$1 spec=$2 dir out result=undecided
  shift 2
  dir=$(mktemp -d "$WORK/XXXXXX")
  cd "$dir"
  spin -a "$@" "$SPEC/$spec.pml" >spin.txt 2>&1 || { cat spin.txt; return 1; }
  # The program that Spin generates causes compiler warnings.
  gcc -w -O2 -DSAFETY -DMEMLIM=800 -DNOFAIR -o pan pan.c
  out=$(timeout 300 ./pan -m200000 -w23 2>&1) || true
  # An incomplete search without an error has the result "undecided".
  if ! grep -q 'errors: 0' <<<"$out" && grep -q 'errors: [1-9]' <<<"$out"; then
    result=fail
  elif grep -q 'errors: 0' <<<"$out" &&
    ! grep -qE 'out of memory|max search depth|interrupted' <<<"$out"; then
    result=pass
  fi
  echo "model=$spec macros=\"$*\" expected=$expected result=$result" \
    "states=$(awk '/states, stored/ { print $1; exit }' <<<"$out")"
  [ "$result" = "$expected" ]
}
export -f check

if ! printf '%s\n' "${cases[@]}" |
  timeout 900 xargs -P 3 -I{} bash -c 'check {}'; then
  echo "model check failed" >&2
  exit 1
fi
echo "model check passed cases=${#cases[@]}"
