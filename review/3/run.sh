#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")" || exit 2
if [[ ! -x ../rig/target/rig || ! -x ../../target/sardinegate ]]; then
  echo "run the build of deploy/system.toml and review/build.sh first" >&2
  exit 2
fi
exec ../rig/target/rig second-signal ../../target/sardinegate record.txt
