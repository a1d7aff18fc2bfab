#!/bin/sh
# A runner leaves right after an entry VM was cut off from the store; about 14 s.
cd "$(dirname "$0")/../.." || exit 2
exec review/.bin/rig late-leaver --record review/2/record.txt
