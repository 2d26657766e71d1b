#!/usr/bin/env bash
# Builds the stand-ins of the second review: target/case-N from review/N/case.c
# and the deployment of rig-2.h.  Wants the packages of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
make -s -j8 B=target target/web.o target/httpc.o target/str.o target/err.o
for source in review/*/case.c; do
    number=$(basename "$(dirname "$source")")
    gcc -D_GNU_SOURCE -I. -Ireview -isystem /usr/include/tirpc -std=gnu11 \
        -O2 -g -Wall -Wextra -Wshadow -o "target/case-$number" \
        "$source" review/rig-2.c target/web.o target/httpc.o target/str.o \
        target/err.o -lev -lmicrohttpd -lcurl -ljansson -lnettle -lxxhash
done
