#!/bin/sh
# Discovery answers each call after two seconds; a drain is never learnt.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/woodproxy ] && [ -x review/bin/rig2 ] || { echo "build first: the line build of deploy/balancer.toml, review/build-2.sh"; exit 2; }
exec review/bin/rig2 slow-list review/10/record.txt
