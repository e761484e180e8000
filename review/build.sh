#!/bin/sh
# Builds the stand-ins that the scripts start.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
packages="glib-2.0 libevent jansson"
for source in standin/*_main.c; do
	name=$(basename "$source" _main.c)
	${CC:-gcc} -std=gnu11 -O1 -g -Wall -Wextra -D_GNU_SOURCE -Istandin \
		$(pkg-config --cflags $packages) -o "bin/$name" "$source" \
		standin/rig.c $(pkg-config --libs $packages) -lpthread
done
