#!/bin/bash
# Runs case 3 and writes record.txt beside this file. Exit code: 0 the rule held, 1 it was broken, 2 could not run.
cd "$(dirname "$0")" || exit 2
program=../bin/stop
if [ ! -x "$program" ] || [ ! -x ../../bin/sloepick ]; then
	echo "build the project and run review/build.sh first" >&2
	exit 2
fi
exec "$program" .
