#!/usr/bin/env bash
# Builds every stand-in that a case starts, into bin/, after the build of deploy/balancer.toml. The
# project's own stand-ins are commands of bin/merlinhitch.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin
for drive in review/[0-9]/drive; do
  number=$(basename "$(dirname "$drive")")
  CGO_ENABLED=1 go build -ldflags=-linkmode=external -o "bin/review-$number" "./$drive"
done
