#!/usr/bin/env bash
# Plays the case on separate processes; see claim.txt. Needs the build of the deploy file and review/build-2.sh. Exits with 1 if the rule was
# broken, with 0 if it held, and with 2 if the case could not run. With TROUBLE=0 the disruption is left out.
cd "$(dirname "$0")/../.." || exit 2
[[ -x target/sardinegate && -x target/review-2 ]] || { echo "build first: deploy/system.toml, review/build-2.sh" >&2; exit 2; }
exec target/review-2 drain review/10/record.txt
