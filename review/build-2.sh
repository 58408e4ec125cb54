#!/bin/sh
# Builds what the scripts of the second review start, besides the programs of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o review/bin/cases2 ./review/_cases2
