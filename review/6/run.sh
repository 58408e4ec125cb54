#!/bin/sh
# Stops and starts daemons in turn while clients send requests. Exits with 1 if a request that a replica has begun is cut.
cd "$(dirname "$0")" || exit 2
[ -x ../bin/cases2 ] && [ -x ../../target/entry ] || exit 2
exec ../bin/cases2 drain ../.. record.txt
