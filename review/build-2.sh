#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts. The program itself is built by the
# build line of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
go test -c -tags review2 -o target/review-harness2 ./review/harness2
