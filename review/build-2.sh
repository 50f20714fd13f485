#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts. The build of the deploy file comes first.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/rig2 ./review/_rig2
