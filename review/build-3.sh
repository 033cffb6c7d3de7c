#!/usr/bin/env bash
# Builds what the scripts of the cases 11 to 15 start: the program, by the line of the
# deploy file, and the stand-ins with their clients. It needs no network.
set -eu
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/ ./cmd/rosemarylb
go test -c -tags review -o target/review-3 ./review/harness3
