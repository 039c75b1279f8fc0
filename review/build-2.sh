#!/bin/sh
# Builds the stand-ins of the scripted cases 6 to 10. Run in the repository root, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/rig2 ./review/rig2
