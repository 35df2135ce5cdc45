#!/usr/bin/env bash
# Runs the case. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.."
if [ ! -x target/review-standin ] || [ ! -x target/jasminemoor ]; then
	echo "not built"
	exit 2
fi
exec target/review-standin -case foreign-service -record review/4/record.txt
