#!/bin/bash
# Plays the case: exit status 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 it does
# the same without the disruption. What was sent, answered and run goes to record.txt beside this script.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/standin ] || { echo "run review/build.sh first" >&2; exit 2; }
exec review/bin/standin pipeline "review/3/record.txt"
