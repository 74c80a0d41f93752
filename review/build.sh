#!/bin/sh
# Builds the stand-ins that the scripts of the cases start. It needs the Go toolchain and nothing else.
set -eu
cd "$(dirname "$0")/rig"
mkdir -p ../bin
CGO_ENABLED=0 GOFLAGS=-mod=mod GOWORK=off go build -buildvcs=false -o ../bin/rig .
