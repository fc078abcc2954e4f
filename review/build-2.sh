#!/bin/sh
# Builds the stand-ins of review cases 6 to 10 into review/harness-2/bin. It needs nothing but the Go tool chain. The
# gateways are built by the deploy file.
set -eu
cd "$(dirname "$0")/harness-2"
mkdir -p bin
CGO_ENABLED=0 GOWORK=off GOPROXY=off GOTOOLCHAIN=local go build -buildvcs=false -o bin/reviewharness .
