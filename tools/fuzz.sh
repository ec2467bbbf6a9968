#!/bin/sh
# Builds the fuzz targets with sanitizers and runs each for SECONDS seconds.
set -u
cd "$(dirname "$0")/.." || exit 1
folder=build-fuzz
CC=clang CXX=clang++ cmake -S . -B $folder -DIBIS_FUZZ=ON \
	-DIBIS_SANITIZE=address,undefined -DCMAKE_BUILD_TYPE=Debug \
	>$folder.log 2>&1 || {
	cat $folder.log
	exit 1
}
cmake --build $folder -j "${JOBS:-3}" >>$folder.log 2>&1 || {
	tail -60 $folder.log
	exit 1
}
result=0
targets=0
for target in "$folder"/fuzz_*; do
	[ -x "$target" ] && [ -f "$target" ] || continue
	name=$(basename "$target")
	targets=$((targets + 1))
	if "$target" -seed=1 -max_total_time="${SECONDS:-60}" -timeout=10 \
		-rss_limit_mb=2048 -print_final_stats=1 \
		-artifact_prefix="$folder/$name-" \
		>"$folder/$name.log" 2>&1; then
		runs=$(sed -n 's/^stat::number_of_executed_units: *//p' \
			"$folder/$name.log")
		echo "fuzz=$name seconds=${SECONDS:-60} seed=1 runs=$runs result=passed"
	else
		tail -40 "$folder/$name.log"
		echo "fuzz=$name seconds=${SECONDS:-60} seed=1 result=FAILED"
		result=1
	fi
done
[ $targets -gt 0 ] || {
	echo "no fuzz targets" >&2
	result=1
}
exit $result
