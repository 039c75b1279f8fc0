#!/bin/sh
# Builds every stand-in that the scripts of the cases start. It needs the standard library only.
set -eu
cd "$(dirname "$0")/.."
go build -tags review -o review/bin/rig ./review/rig
