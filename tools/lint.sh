#!/bin/sh
# Runs clang-tidy and cppcheck over our own C files; any finding fails.
set -u
cd "$(dirname "$0")/.." || exit 1
failed=0
tools/sources.sh | grep '\.c$' | grep -v '^fuzz/' |
	xargs -P "${JOBS:-4}" -n 1 clang-tidy -quiet -p "${BUILD:-build}" \
	2>/dev/null || failed=1
cppcheck -q --library=tools/urcu.cfg -j "${JOBS:-4}" --std=c11 --enable=warning,performance,portability \
	--inline-suppr --suppress=missingIncludeSystem --error-exitcode=1 \
	--suppress=normalCheckLevelMaxBranches -D_GNU_SOURCE \
	-Iinclude -Isrc -Ifakes -Iplatform src platform fakes bench || failed=1
exit $failed
