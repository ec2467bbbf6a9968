#!/bin/sh
# Builds the stand-ins and drivers of the cases into target/review. Run it from
# anywhere, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
flags="-std=c11 -D_GNU_SOURCE -O1 -g -Wall -Wextra -Ifakes
	-Iinclude -Isrc -Iproto -Iplatform"
packages="json-c neon libmicrohttpd liburcu liburcu-cds libprotobuf-c
	libxxhash libcurl"
for case in ${CASES:-review/[1-9]}; do
	[ -f "$case/case.c" ] || continue
	# shellcheck disable=SC2046,SC2086
	${CC:-cc} $flags -o "target/review/case-${case#review/}" \
		"$case/case.c" review/common/*.c fakes/common/*.c \
		$(pkg-config --cflags $packages) target/libibistrestle.a \
		$(pkg-config --libs $packages) -lpthread -lm
done
