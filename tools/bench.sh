#!/bin/sh
# Runs every benchmark and prints its metric lines.
set -u
cd "$(dirname "$0")/.." || exit 1
IBIS_BIN=${BUILD:-build}
export IBIS_BIN
result=0
for bench in "$IBIS_BIN"/bench_*; do
	[ -x "$bench" ] && [ -f "$bench" ] || continue
	"$bench" || {
		echo "$(basename "$bench") failed" >&2
		result=1
	}
done
exit $result
