#!/bin/sh
# Builds what the scripts of review/11 to review/15 start beside the project's programs.
# Run the build of deploy/system.toml first. It needs no network.
set -e
cd "$(dirname "$0")/rig3"
GOWORK="$PWD/go.work" GOTOOLCHAIN=local go build -o ../../target/rig3 .
