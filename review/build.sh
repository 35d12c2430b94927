#!/bin/sh
# Builds the stand-ins of the review's scripts into review/bin. The build of
# deploy/system.toml comes before it.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
for source in review/standins/case-*.c; do
    name=$(basename "$source" .c)
    # shellcheck disable=SC2046
    ${CC:-gcc} -std=gnu11 -D_GNU_SOURCE -O1 -g -Wall -Wextra \
        -Wno-unused-parameter -Wno-missing-field-initializers \
        $(pkg-config --cflags jansson) -o "review/bin/$name" "$source" \
        review/standins/lab.c $(pkg-config --libs jansson)
done
