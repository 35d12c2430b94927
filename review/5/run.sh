#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
# run; see claim.txt. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x review/bin/case-same-cookie ]; then
    echo "review/build.sh has not been run" >&2
    exit 2
fi
exec review/bin/case-same-cookie review/5/record.txt
