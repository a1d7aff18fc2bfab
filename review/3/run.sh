#!/bin/sh
# A stream that crashes each engine after its first event comes again; about 41 s.
cd "$(dirname "$0")/../.." || exit 2
exec review/.bin/rig crashing-request --engine --after 1 --record review/3/record.txt
