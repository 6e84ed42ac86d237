#!/bin/sh
# Plays the case and writes review/9/record.txt; with TROUBLE=0 without the disruption.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/sloelift ] || [ ! -x target/review3/standin3 ]; then
	echo "run the build of deploy/system.toml and review/build-3.sh first" >&2
	exit 2
fi
exec target/review3/standin3 unsigned review/9/record.txt
