#!/bin/sh
# Builds what the cases 6 to 10 start: the project's programs, its stand-ins among them, and the driver
# of the cases. Run from anywhere, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p bin
CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/ ./cmd/...
go build -o bin/review-second ./review/second
go build -o bin/review-third ./review/third
