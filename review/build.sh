#!/usr/bin/env bash
# Builds the stand-ins of the cases. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -tags review -o target/review/driver ./review/driver
