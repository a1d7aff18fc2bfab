#!/bin/sh
# A request that crashes runners of a plain service comes again; about 41 s.
cd "$(dirname "$0")/../.." || exit 2
exec review/.bin/rig crashing-request --record review/1/record.txt
