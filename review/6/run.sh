#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd)
[ -x "$root/target/review-2/rig" ] && [ -x "$root/target/baobab-node" ] || exit 2
exec "$root/target/review-2/rig" uncounted "$root" record.txt
