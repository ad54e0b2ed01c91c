#!/usr/bin/env bash
# A side machine freezes for 7 s and the leader of the core for 4 s; then an executor drains.
#
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. With
# TROUBLE=0 the same is played without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/scene ] && [ -x target/baobab-node ] || exit 2
exec target/scene drain "$PWD" review/5/record.txt
