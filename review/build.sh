#!/bin/sh
# Builds the stand-ins of the script cases. They need the standard library only.
set -e
cd "$(dirname "$0")/standin"
GOFLAGS="-mod=mod -buildvcs=false" GOPROXY=off go build -o ../bin/review .
