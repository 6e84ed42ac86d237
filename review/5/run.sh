#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the loss of the disk.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/sloelift ] && [ -x target/review-2/standin ] || exit 2
exec timeout -k 5 115 target/review-2/standin emptied target/sloelift deploy/settings.tmpl review/5/record.txt
