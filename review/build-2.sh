#!/bin/sh
# Builds the stand-ins that the scripts of this review start, into
# build/review-2/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build/review-2
packages="glib-2.0 libevent jansson"
for source in review/standin-2/*_main.c; do
	name=$(basename "$source" _main.c)
	# The lists of flags are lists of words.
	# shellcheck disable=SC2046,SC2086
	${CC:-gcc} -std=gnu11 -O1 -g -Wall -Wextra -D_GNU_SOURCE \
		-Ireview/standin-2 $(pkg-config --cflags $packages) \
		-o "build/review-2/$name" "$source" review/standin-2/rig.c \
		$(pkg-config --libs $packages)
done
