#!/usr/bin/env bash
# Plays the case with the project's program and stand-ins on loopback. Exit 1: the rule was broken; 0: it held; 2: the case
# could not run. TROUBLE=0 leaves the disruption out. It needs the builds of the deploy file and of review/build.sh.
set -euo pipefail
cd "$(dirname "$0")/../.."
[ -x review/bin/rig ] && [ -x target/entry ] || { echo "not built"; exit 2; }
exec review/bin/rig decoded-slash . review/4/record.txt
