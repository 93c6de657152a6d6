#!/usr/bin/env bash
# Plays the case; see claim.txt. Needs the build of the deploy file and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/apricotflow ] && [ -x target/review-scenario ] || exit 2
exec target/review-scenario --case left-clients --program target/apricotflow --record review/5/record.txt
