#!/bin/sh
# Prints our own C and C++ files, generated ones left out.
cd "$(dirname "$0")/.." || exit 1
git ls-files --cached --others --exclude-standard \
	'*.c' '*.h' '*.cc' | grep -v 'pb-c' | while read -r file; do
	[ -f "$file" ] && echo "$file"
done
