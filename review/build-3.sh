#!/bin/sh
# Builds what the scripts of the third review start besides the daemon: their stand-ins, as one program.
cd "$(dirname "$0")/.." || exit 1
exec go build -o target/review3 ./review/_cases3
