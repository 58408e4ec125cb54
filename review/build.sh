#!/bin/sh
# Builds the stand-ins of all cases. It needs the standard library alone.
set -eu
cd "$(dirname "$0")/.."
go build -buildvcs=false -o review/bin/cases ./review/_cases
