#!/bin/sh
# Builds the stand-ins and the cases 6 to 10 of the second review, to
# target/review-2.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/6/scenario.c review/7/scenario.c review/8/scenario.c \
	review/9/scenario.c review/10/scenario.c; do
	[ -f "$source" ] || continue
	number=$(basename "$(dirname "$source")")
	${CC:-cc} -std=gnu11 -D_GNU_SOURCE -O1 -g -Wall -Wextra \
		-o "target/review-2/case-$number" "$source" \
		review/common-2/*.c -ljson-c -lpthread
done
