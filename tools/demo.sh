#!/bin/sh
# Plays the demonstration on the example documents of both sites and adds up
# their counts in a last line.
set -u
cd "$(dirname "$0")/.." || exit 1
IBIS_BIN=${BUILD:-build}
export IBIS_BIN
result=0
lines=
for site in hoofline ikeja; do
	echo "site=$site"
	output=$("$IBIS_BIN/ibis-site" --demo --seed 1 --time-scale 2 \
		--document "examples/$site/document.jsonc") || result=1
	echo "$output"
	lines="$lines
$(echo "$output" | grep '^site: ')"
done
echo "$lines" | awk '
	/^site: / {
		sites++
		for (i = 2; i <= NF; i++) {
			split($i, pair, "=")
			sum[pair[1]] += pair[2]
		}
	}
	END {
		printf "demo: submitted=%d answered=%d lost=%d run_twice=%d\n",
		    sum["submitted"], sum["answered"], sum["lost"],
		    sum["run_twice"]
		exit sites != 2
	}' || result=1
exit $result
