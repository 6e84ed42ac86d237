#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 plays it without the disruption.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/sloelift ] && [ -x target/review-standin ] || exit 2
exec target/review-standin -case replica-crashes -program target/sloelift -record "$folder/record.txt"
