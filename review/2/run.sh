#!/usr/bin/env bash
# Plays the case of this folder; see claim.txt. TROUBLE=0 leaves out the
# disruption. Exit status: 1 if the rule was broken, 0 if it held, 2 if the
# case could not run.
Folder=$(cd "$(dirname "$0")" && pwd) || exit 2
Number=$(basename "$Folder")
cd "$Folder/../.." || exit 2
RUN_LINE=$(sed -n '/^\[roles\.node\]/,/^\[/s/^run = "\(.*\)"$/\1/p' deploy/system.toml)
RECORD="review/$Number/record.txt"
export RUN_LINE RECORD
[ -x "${RUN_LINE%% *}" ] && [ -x "target/review/case-$Number" ] || exit 2
timeout 115 "target/review/case-$Number"
Status=$?
# A time-out or a crash of the case itself says nothing about the rule.
[ "$Status" -le 1 ] || exit 2
exit "$Status"
