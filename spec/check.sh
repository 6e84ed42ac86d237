#!/usr/bin/env bash
# Checks one model exhaustively with Spin.
# Usage: check.sh holds|fails MODEL [-DNAME=VALUE ...]
# "holds" requires a complete search without a violation, "fails" requires a violation.
set -euo pipefail
expected=$1
model=$2
shift 2
here=$(cd "$(dirname "$0")" && pwd)
mkdir -p "$here/build"
work=$(mktemp -d "$here/build/XXXXXX")
trap 'rm -rf "$work"' EXIT
cd "$work"

spin "$@" -a "$here/$model" > spin.out || { cat spin.out; exit 1; }
cc -O2 -DSAFETY -DMEMLIM=8000 -w -o pan pan.c
# -E: processes that wait forever are not a violation. -m: the maximum search depth; a deeper search is incomplete.
./pan -E -m2000000 -w25 > pan.out || { cat pan.out; exit 1; }

states=$(awk '/states, stored/ {print $1; exit}' pan.out)
errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' pan.out)
case "$expected" in
holds)
  if [ "$errors" != 0 ] || grep -qiE 'max search depth too small|out of memory|Search not completed' pan.out; then
    cat pan.out
    echo "FAILED: $model $* should hold"
    exit 1
  fi
  ;;
fails)
  if [ "$errors" = 0 ]; then
    cat pan.out
    echo "FAILED: $model $* should show a violation"
    exit 1
  fi
  ;;
*)
  echo "holds or fails, not $expected"
  exit 2
  ;;
esac
echo "$expected: $model $* ($states states)"
