#!/usr/bin/env bash
# A channel of a client breaks, the side machine that runs its tasks freezes, stops stay unanswered.
#
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. With
# TROUBLE=0 the same is played without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/scene ] && [ -x target/baobab-node ] || exit 2
exec target/scene twice "$PWD" review/1/record.txt
