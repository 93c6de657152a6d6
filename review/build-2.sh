#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases of the second review into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review2 -o target/scenario-2 ./review/scenario-2
