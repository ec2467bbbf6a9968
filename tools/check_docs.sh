#!/bin/sh
# Fails unless docs and code name the same metrics, log events and commands.
set -u
cd "$(dirname "$0")/.." || exit 1
failed=0

same() { # what in-code in-docs
	if [ "$2" != "$3" ]; then
		echo "$1: code and docs differ (- code, + docs)"
		a=$(mktemp)
		b=$(mktemp)
		echo "$2" >"$a"
		echo "$3" >"$b"
		diff -U0 "$a" "$b" | grep '^[-+][^-+]'
		rm "$a" "$b"
		failed=1
	fi
}

same "metrics, docs/METRICS.md" \
	"$(cat src/*/*.c | grep -o '"ibis_[a-z_]*"' | tr -d '"' | sort -u)" \
	"$(grep -o '^| `ibis_[a-z_]*`' docs/METRICS.md | tr -d '|` ' | sort -u)"

# Log events of an instance on the users' platform: what it can write is
# documented, and what is documented it can write.
documented=$(grep '^| `' docs/OPERATIONS.md | cut -d'|' -f2 |
	grep -o '`[a-z_]*`' | tr -d '`')
written=$(cat src/agent/*.c src/connection/http_pool.c | tr -d '\n\t' |
	grep -oE 'log_event\([^,;]*, *([a-z_]+ \? )?"[a-z_]+"|log_answer\([^,;]*,[^,;]*, *"[a-z_]+"|log_order\( *"[a-z_]+"' |
	sed 's/.*"\(.*\)"/\1/' | sort -u)
for event in $written; do
	echo "$documented" | grep -qx "$event" || {
		echo "log event $event: not in docs/OPERATIONS.md"
		failed=1
	}
done
for event in $documented; do
	grep -q "\"$event\"" src/*/*.c || {
		echo "log event $event: in docs/OPERATIONS.md, not in the code"
		failed=1
	}
done

# Commands of ibisctl.
same "commands, man/ibisctl.1" \
	"$(cat src/request/cli_*.c | tr -d '\n\t' |
		grep -oE '\.group = "[a-z-]+", *(\.name = "[a-z-]+",)?' |
		sed -E 's/\.group = "([a-z-]+)", *(\.name = "([a-z-]+)",)?/\1 \3/; s/ $//' |
		sort -u)" \
	"$(sed -n 's/^\.It Cm //p' man/ibisctl.1 | sed 's/ , Cm /\n/g' |
		sed -E 's/ ?(Ar|Oo|Op|Fl) .*//' | sort -u)"
exit $failed
