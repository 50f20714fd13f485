#!/usr/bin/env bash
# Builds the stand-ins of the scripts: one program with the store, the servers, the operator and the clients.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -o review/bin/rig ./review/_rig
