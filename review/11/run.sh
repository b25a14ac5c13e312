#!/usr/bin/env bash
# Plays the case "empty-disk" and writes record.txt; needs the build of deploy/system.toml and
# review/build-3.sh. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-3/review-3 empty-disk review/11
