#!/bin/sh
# Starts a site and leaves it running until interrupted.
set -u
cd "$(dirname "$0")/.." || exit 1
IBIS_BIN=${BUILD:-build}
export IBIS_BIN
exec "$IBIS_BIN/ibis-site" \
	--document "examples/${SITE:-hoofline}/document.jsonc"
