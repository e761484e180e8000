#!/bin/sh
# A configuration just after an outage of the store.
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
# TROUBLE=0: the same without the disruption.
export TROUBLE="${TROUBLE:-1}"
exec ../bin/stale_config
