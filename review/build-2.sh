#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -tags review2 -o target/review-driver-2 ./review/driver-2
