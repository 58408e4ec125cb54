#!/bin/sh
# Plays the case: exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the
# disruption out. Build before: the line `build` of deploy/system.toml, and review/build-3.sh.
cd "$(dirname "$0")/../.." || exit 2
exec target/review3 withheld review/13
