#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. It needs Go and no network.
set -euo pipefail
cd "$(dirname "$0")/rig"
GOWORK=off go build -o target/rig .
