#!/bin/sh
# Builds the stand-ins of the cases review/6 to review/10 into review/bin.
set -e
cd "$(dirname "$0")/rig-2"
mkdir -p ../bin
exec go build -buildvcs=false -o ../bin/rig2 .
