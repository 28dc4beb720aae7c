#!/bin/sh
# Builds the stand-ins of the review's scripts, after the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
cd review/rig
go build -o ../../target/review-rig .
