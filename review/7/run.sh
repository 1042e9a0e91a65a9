#!/bin/sh
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/review-2 ] || { echo "run the build of deploy/balancer.toml and review/build-2.sh first" >&2; exit 2; }
exec bin/review-2 laterepeat review/7/record.txt
