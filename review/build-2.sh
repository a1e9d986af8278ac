#!/bin/sh
# Builds the stand-ins and cases of the second review. It needs no network.
set -e
cd "$(dirname "$0")/standin-2"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/review-2/cases .
