#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: no disruption.
folder=$(cd "$(dirname "$0")" && pwd)
case=verified-then-frozen
. "$folder/../common.sh"
