#!/bin/sh
# Builds the stand-ins that the scripts of the second review start, from the
# project's own sources and from
# review/standins-2/, into review/bin-2/. It needs the packages of the
# deploy file only. Usage: review/build-2.sh
set -eu
cd "$(dirname "$0")/../tests/standins"
out=../../review/bin-2
libs=$(pkg-config --cflags --libs libevent glib-2.0 jansson libsodium)
common="../../src/base/clock.c delay-line.c kv-history.c platform-text.c
        standin-common.c"
mkdir -p "$out"
echo "*" >"$out/.gitignore"
build() {
    name=$1
    shift
    # shellcheck disable=SC2086
    "${CC:-cc}" -std=gnu11 -O2 -D_GNU_SOURCE -I../../src -I. \
        -o "$out/standin-$name" "standin-$name.c" "$@" $common $libs -lm
}
build platform
build flow-target flow-end.c flow-wire.c
build flow-caller flow-end.c flow-wire.c
"${CC:-cc}" -std=gnu11 -O2 -D_GNU_SOURCE -o "$out/opener" \
    ../../review/standins-2/opener.c flow-wire.c -lm
"${CC:-cc}" -std=gnu11 -O2 -D_GNU_SOURCE -o "$out/users" \
    ../../review/standins-2/users.c flow-wire.c
