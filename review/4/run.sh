#!/bin/sh
# Plays the case with stand-ins. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.."
exec review/bin/rig -case services -record review/4/record.txt
