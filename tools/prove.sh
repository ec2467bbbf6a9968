#!/bin/sh
# Runs the tests that tools/promises.txt names and prints a verdict for each
# promise: proved when every fault has a test and all passed, partial when all
# passed but some fault has no test, unproved otherwise.
set -u
cd "$(dirname "$0")/.." || exit 1
IBIS_BIN=${BUILD:-build}
IBIS_SOURCE=.
RC_PARAMS="seed=20261203 max_success=200"
export IBIS_BIN IBIS_SOURCE RC_PARAMS
table=tools/promises.txt
logs=$IBIS_BIN/prove
results=$logs/results
mkdir -p "$logs"
: >"$results"

# Lines "PROGRAM|TEST|passed" of a CUnit log; what a test prints stands between
# its name and its result.
read_tests() { # program log
	awk -v program="$1" '
		/^  Test: / {
			name = $0
			sub(/^  Test: /, "", name)
			sub(/ \.\.\..*$/, "", name)
		}
		name != "" && /(^|[. ])passed$/ {
			print program "|" name "|passed"
			name = ""
		}
		name != "" && /(^|[. ])FAILED$/ {
			print program "|" name "|failed"
			name = ""
		}' "$2"
}

run_program() { # program
	if [ ! -x "$IBIS_BIN/$1" ]; then
		echo "$1||missing" >>"$results"
		return
	fi
	if timeout "${TEST_SECONDS:-120}" "$IBIS_BIN/$1" \
		>"$logs/$1.log" 2>&1; then
		echo "$1||passed" >>"$results"
	else
		echo "$1||failed" >>"$results"
	fi
	read_tests "$1" "$logs/$1.log" >>"$results"
}

# A few side by side: each is a site of its own on ports of its own.
running=0
for program in $(awk '!/^#/ && $3 != "-" { print $3 }' $table | sort -u); do
	run_program "$program" &
	running=$((running + 1))
	if [ $running -ge "${JOBS:-4}" ]; then
		wait
		running=0
	fi
done
wait

awk -F'|' -v table=$table '
	{ result[$1 "|" $2] = $3 }
	END {
		while ((getline line < table) > 0) {
			if (line ~ /^#/ || line == "")
				continue
			split(line, word, " ")
			promise = word[1]
			last = promise > last ? promise : last
			fault = word[2]
			program = word[3]
			name = line
			sub(/^[^ ]+ [^ ]+ [^ ]+ ?/, "", name)
			if (program == "-") {
				open[promise] = open[promise] "," fault
				continue
			}
			if (!((promise, program) in seen)) {
				seen[promise, program] = 1
				tests[promise] = tests[promise] "," program
			}
			faults[promise] = faults[promise] "," fault
			if (result[program "|" name] != "passed")
				red[promise] = red[promise] "," fault
		}
		for (promise = 1; promise <= last; promise++) {
			verdict = "proved"
			if (open[promise] != "")
				verdict = "partial"
			if (red[promise] != "" || tests[promise] == "")
				verdict = "unproved"
			printf "promise=%d verdict=%s tests=%s faults=%s",
			    promise, verdict,
			    tests[promise] == "" ? "none" : substr(tests[promise], 2),
			    faults[promise] == "" ? "none" : substr(faults[promise], 2)
			if (red[promise] != "")
				printf " failed=%s", substr(red[promise], 2)
			if (open[promise] != "")
				printf " untested=%s", substr(open[promise], 2)
			printf "\n"
		}
	}' "$results"
! grep -q '|failed$\||missing$' "$results"
