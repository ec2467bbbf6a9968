#!/bin/sh
# Builds the stand-ins and cases 11 to 15 of the review into build-review-3/.
set -eu
cd "$(dirname "$0")/.."
cmake -S . -B build-review-3 -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build build-review-3 -j4 --target fakecommon >/dev/null
packages="liburcu liburcu-cds libprotobuf-c libmicrohttpd neon json-c libxxhash libcurl"
for source in review/1[1-5]/case.c; do
	[ -f "$source" ] || continue
	number=$(basename "$(dirname "$source")")
	# shellcheck disable=SC2046
	cc -std=c11 -O1 -g -Wall -Wextra -Werror -D_GNU_SOURCE \
		-Iinclude -Isrc -Iproto -Iplatform -Ifakes -Ireview/common-3 \
		$(pkg-config --cflags $packages) \
		-o "build-review-3/case-$number" "$source" review/common-3/*.c \
		build-review-3/libfakecommon.a build-review-3/libibistrestle.a \
		$(pkg-config --libs $packages) -lpthread -lm
done
