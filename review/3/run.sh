#!/usr/bin/env bash
# 0: the rule held; 1: it was broken; 2: the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
node case.mjs
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
