#!/bin/sh
# Builds the stand-ins of the cases 11 to 15 into target/. They have no dependencies.
set -e
cd "$(dirname "$0")/standin-3"
mkdir -p ../../target
CGO_ENABLED=0 GOFLAGS=-buildvcs=false go build -o ../../target/standin-3 .
