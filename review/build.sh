#!/bin/sh
# Builds the stand-ins of all cases into bin/, beside the programs that the deploy file builds.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
CGO_ENABLED=0 go build -o bin/review-standin ./review/_standin
