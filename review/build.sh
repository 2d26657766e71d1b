#!/usr/bin/env bash
# Builds target/review/stage, the stand-ins of all cases, with the compiler and
# the options of the Makefile.  Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
# The Makefile does not know on which headers these depend.
rm -f target/review/*.o
make -s -j8 B=target OPT='-O2 -g' target/review/stage.o target/review/cases.o \
    target/test/soak-store.o target/test/soak-worker.o \
    target/test/soak-proxy.o target/web.o target/httpc.o target/str.o \
    target/err.o
gcc -o target/review/stage target/review/stage.o target/review/cases.o \
    target/test/soak-store.o target/test/soak-worker.o \
    target/test/soak-proxy.o target/web.o target/httpc.o target/str.o \
    target/err.o -lev -lmicrohttpd -lcurl -ljansson -lxxhash -lnettle
