#!/usr/bin/env bash
# Builds the stand-ins of all cases. Run it after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
go test -c -tags review -o target/review-standin ./review/standin
