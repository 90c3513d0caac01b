#!/usr/bin/env bash
# Builds the stand-ins and checks of the second review's scripts into target/. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/rig-2"
mkdir -p ../../target
GOWORK=off CGO_ENABLED=0 go build -o ../../target/review-2 .
