#!/usr/bin/env bash
# An executor fails all that it starts; most jobs need a label that it lacks.
#
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. With
# TROUBLE=0 the same is played without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/scene ] && [ -x target/baobab-node ] || exit 2
exec target/scene label "$PWD" review/4/record.txt
