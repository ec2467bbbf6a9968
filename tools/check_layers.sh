#!/bin/sh
# Fails when an include runs upward. docs/CONTRIBUTING.md shows the layers.
set -u
cd "$(dirname "$0")/.." || exit 1
failed=0

# What all layers may use: memory, text, time, log, counters.
base='process/(alloc|buffer|clock|counters|event|histogram|json_limits|jsonc|jsonc_scan|log|log_line|proto_memory|race_check|utf8)\.h'
public='ibistrestle(\.pb-c)?\.h'

only() { # files allowed
	for file in $1; do
		grep -o '^#include "[^"]*"' "$file" | cut -d'"' -f2 |
			grep -vxE "$public|$base|$2" |
			sed "s|^|$file: may not include |"
	done
}

never() { # files forbidden
	for file in $1; do
		grep -o '^#include "[^"]*"' "$file" | cut -d'"' -f2 |
			grep -E "$2" | sed "s|^|$file: may not include |"
	done
}

upward=$(
	only "$(ls src/fleet/*.[ch])" 'fleet/[a-z_]*\.h'
	only "$(ls platform/*.[ch])" \
		'platform\.h|wire_json\.h|fleet/fleet\.h|version/routes\.h|connection/(http_pool|address)\.h'
	only "$(ls src/agent/*.[ch])" \
		'agent/[a-z_]*\.h|platform\.h|fleet/(fleet|name_index)\.h|version/routes\.h|connection/(http_pool|gateway)\.h'
	only "$(ls src/connection/http_pool.[ch] src/connection/gateway.[ch] \
		src/connection/intake.[ch])" \
		'connection/(http_pool|http_unescape|gateway|intake|address)\.h'
	only "$(ls src/connection/http_unescape.[ch])" \
		'connection/http_unescape\.h'
	only "$(ls src/version/routes.[ch])" 'version/routes\.h'
	only "$(ls src/process/alloc.[ch] src/process/buffer.[ch] \
		src/process/clock.[ch] src/process/counters.[ch] \
		src/process/histogram.[ch] src/process/log.[ch] \
		src/process/log_line.[ch] src/process/proto_memory.[ch] \
		src/process/utf8.[ch])" 'process/status\.h'
	never "$(ls src/connection/*.[ch] src/version/*.[ch] src/request/*.[ch])" \
		'^process/(control|scheduler|daemon)|^agent/|^fleet/|^platform\.h'
	never "$(ls src/process/*.[ch])" '^agent/|^fleet/|^platform\.h'
)
if [ -n "$upward" ]; then
	echo "$upward"
	failed=1
fi
exit $failed
