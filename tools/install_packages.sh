#!/bin/sh
# Installs the Debian packages named in PACKAGES that are missing.
set -eu
missing=
for package in $PACKAGES; do
	dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
		grep -q 'ok installed' || missing="$missing $package"
done
[ -z "$missing" ] && exit 0
if [ "$(id -u)" -ne 0 ] || ! command -v apt-get >/dev/null; then
	echo "missing packages:$missing" >&2
	echo "install them as root with: apt-get install -y$missing" >&2
	exit 1
fi
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq >/dev/null
# shellcheck disable=SC2086 # one word a package
apt-get install -y -qq $missing >/dev/null || {
	echo "could not install:$missing" >&2
	exit 1
}
