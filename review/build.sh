#!/bin/bash
# Builds the programs of the cases with their stand-ins into review/bin. They need the Go tool chain only.
set -euo pipefail
cd "$(dirname "$0")/standin"
mkdir -p ../bin
CGO_ENABLED=0 GOWORK=off GOFLAGS=-mod=readonly GOPROXY=off GOTOOLCHAIN=local go build -o ../bin/ ./cmd/...
