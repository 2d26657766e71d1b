# dunlinweir: build, test, experiments.  make; make test; make demo

B = build
CC = gcc
CXX = g++
OPT = -O2 -g
WARN = -Wall -Wextra -Wshadow -Wstrict-prototypes -Wmissing-prototypes -Werror
CXXWARN = -Wall -Wextra -Werror
CPPFLAGS = -D_GNU_SOURCE -I. -isystem /usr/include/tirpc
CFLAGS = -std=gnu11 $(OPT) $(WARN) $(SAN)
CXXFLAGS = -std=c++17 $(OPT) $(CXXWARN) $(SAN)
LDFLAGS = $(SAN)

# Deciding modules: no I/O, no clock, no state of their own.
DECIDE = str err act subkey contract schedconf view member sync place host job jobadmit jobhandover \
	quota own ownmap front node route sess fleet coord coplace comove coadmit coshare cotail admit shares tail \
	leave shed runner agent opstate estimate slack inflow rank qpolicy demand intake lag balance relay claim tomb catchup withdraw
# What carries their actions out.
IO = log proc base64 httpc store frame link web weblog trail backend actexec api ops metric serve \
	entryd entrycall entrystore entryjoin agentd platform/wire platform/kv platform/follow
COMMON = $(DECIDE) conf proto_xdr hist
LIBS = -ltirpc -lev -lmicrohttpd -lcurl -lpopt -llog4c -ljansson -lxxhash \
	-lnettle -lm

COMMON_O = $(COMMON:%=$(B)/%.o) $(B)/toml.o
DAEMON_O = $(COMMON_O) $(IO:%=$(B)/%.o) $(B)/dunlinweird.o
CLI_O = $(COMMON_O) $(B)/explain.o $(B)/dunlinweir.o
LOAD_O = $(COMMON_O) $(B)/log.o $(B)/httpc.o $(B)/dwload.o $(B)/dwtrace.o \
	$(B)/dwfleet.o $(B)/dwreport.o
SIM_PARTS = $(B)/sim.o $(B)/simentry.o $(B)/simworker.o $(B)/simcaller.o $(B)/simdraw.o
SIM_O = $(COMMON_O) $(SIM_PARTS)
PROGRAMS = $(B)/dunlinweird $(B)/dunlinweir $(B)/dwload $(B)/dwsim
STANDINS = $(B)/fake-store $(B)/fake-backend $(B)/soak

all: $(PROGRAMS) $(STANDINS)

$(B)/dunlinweird: $(DAEMON_O)
	$(CXX) $(LDFLAGS) -o $@ $^ $(LIBS)

$(B)/dunlinweir: $(CLI_O)
	$(CXX) $(LDFLAGS) -o $@ $^ $(LIBS)

$(B)/dwload: $(LOAD_O)
	$(CXX) $(LDFLAGS) -o $@ $^ $(LIBS)

$(B)/dwsim: $(SIM_O) $(B)/log.o $(B)/dwsim.o
	$(CXX) $(LDFLAGS) -o $@ $^ $(LIBS) -lgsl -lgslcblas

$(B)/fake-store: $(B)/test/fake-store.o $(B)/str.o
	$(CC) $(LDFLAGS) -o $@ $^ -lmicrohttpd -ljansson -lnettle -lxxhash \
		-lpthread

$(B)/fake-backend: $(B)/test/fake-backend.o $(B)/str.o $(B)/err.o $(B)/httpc.o \
	$(B)/web.o $(B)/shed.o
	$(CC) $(LDFLAGS) -o $@ $^ -lev -lmicrohttpd -lcurl -ljansson -lxxhash

$(B)/soak: $(B)/test/soak.o $(B)/test/soak-store.o $(B)/test/soak-worker.o \
	$(B)/test/soak-proxy.o $(B)/web.o $(B)/shed.o $(B)/httpc.o $(B)/str.o $(B)/err.o
	$(CC) $(LDFLAGS) -o $@ $^ -lev -lmicrohttpd -lcurl -ljansson -lxxhash \
		-lpopt -lnettle

TESTS = unit-test work-test link-test quota-test path-test member-test matrix-test \
	property-test fleet world serve-test again-test wire-test route-test sess-test runner-test \
	runner-net-test agent-test \
	coord-test leave-test opstate-test estimate-test slack-test inflow-test rank-test lag-test fleet-test kv-test \
	entry-test httpc-test store-test backend-test job-test web-test log-test sim-test demand-test admit-test shares-test tail-test balance-test shed-test claim-test tomb-test catchup-test withdraw-test
TEST_O = $(TESTS:%=$(B)/test/%.o)
$(B)/tests: $(TEST_O) $(COMMON_O) $(B)/frame.o $(B)/link.o $(B)/proc.o $(B)/log.o $(B)/web.o \
	$(B)/platform/wire.o $(B)/platform/kv.o $(B)/base64.o $(B)/httpc.o $(B)/store.o $(B)/backend.o $(SIM_PARTS)
	$(CXX) $(LDFLAGS) -o $@ $^ $(LIBS) -lgsl -lgslcblas -lrapidcheck -lgtest -lgtest_main \
		-lpthread

# Crowds of clients against the daemon; needs the machine for itself.
$(B)/crowd-tests: $(B)/test/crowd-test.o
	$(CXX) $(LDFLAGS) -o $@ $^ -lgtest -lgtest_main -lpthread

test-crowd: $(B)/crowd-tests $(B)/dunlinweird
	SHARDS=1 bash test/shards.sh $(B)/crowd-tests

$(B)/capacity: $(B)/test/capacity.o $(B)/test/fleet.o $(COMMON_O)
	$(CXX) $(LDFLAGS) -o $@ $^ $(LIBS)

capacity: $(B)/capacity
	$(B)/capacity

$(B)/proto_xdr.o: proto_xdr.c proto.h
	@mkdir -p $(B)
	$(CC) $(CPPFLAGS) -std=gnu11 $(OPT) $(SAN) -w -c -o $@ $<

$(B)/%.o: %.c
	@mkdir -p $(dir $@)
	$(CC) $(CPPFLAGS) $(CFLAGS) -MMD -c -o $@ $<

$(B)/%.o: %.cc
	@mkdir -p $(dir $@)
	$(CXX) $(CPPFLAGS) $(CXXFLAGS) -MMD -c -o $@ $<

# Generated code is committed; this is for after a change of proto.x.
proto: proto.x
	rpcgen -N -C -h proto.x > proto.h
	rpcgen -N -C -c proto.x > proto_xdr.c

SOURCES = $(filter-out proto.h proto_xdr.c,$(wildcard *.c *.h *.cc platform/*.c \
	platform/*.h test/*.c test/*.cc test/*.h test/*.hh))

format:
	clang-format -i $(SOURCES)

format-check:
	clang-format --dry-run -Werror $(SOURCES)

# One run a file, so that make -j spreads them.
LINT = $(patsubst %.c,$(B)/lint/%.ok,$(filter %.c,$(SOURCES)))

lint: $(LINT)

$(B)/lint/%.ok: %.c .clang-tidy $(wildcard *.h)
	@mkdir -p $(dir $@)
	clang-tidy --quiet $< -- -std=gnu11 $(CPPFLAGS) 2>/dev/null
	@touch $@

# One after the other: -j must not mix tests that need the machine for
# themselves with others.
test: all
	$(MAKE) -s test-unit
	$(MAKE) -s test-crowd
	$(MAKE) -s test-regress test-path
	$(MAKE) -s test-soak

test-unit: $(B)/tests $(B)/dunlinweird
	bash test/shards.sh $(B)/tests

# The whole path with separate processes on loopback.
test-path: all
	FLEET_BIN=$(B) bash test/path.sh
	FLEET_BIN=$(B) bash test/ops.sh

# The real daemons under faults from outside; more: test/soak.sh 20 SEED ...
test-soak: all
	FLEET_BIN=$(B) bash test/soak.sh 6 1 2 3
	SOAK_ARGS=-w FLEET_BIN=$(B) bash test/soak.sh 8 104 105 106
	SOAK_ARGS=-x FLEET_BIN=$(B) bash test/soak.sh 6 201 202 203
	SOAK_ARGS="-c -a 16 -e 5" FLEET_BIN=$(B) bash test/soak.sh 8 301 302 303
	SOAK_ARGS="-c -k -a 12 -e 5" FLEET_BIN=$(B) bash test/soak.sh 8 401 402
	SOAK_ARGS="-o -a 9 -e 3" FLEET_BIN=$(B) bash test/soak.sh 8 501 502

test-regress: all
	FLEET_BIN=$(B) bash regress/run.sh

# The same under the address and undefined behaviour sanitizers.
SANITIZE = -fsanitize=address,undefined -fno-sanitize-recover=undefined
test-asan:
	$(MAKE) -s B=build-asan SAN='$(SANITIZE)' OPT='-O1 -g' test-unit test-path

# Policies on drawn deployments; reports in out/load and out/dark.
experiment-load: $(B)/dwsim
	$(B)/dwsim -j 8 -o out/load experiments/load.toml
	$(B)/dwsim -j 8 -o out/dark experiments/dark.toml
	$(B)/dwsim -j 8 -o out/entries experiments/entries.toml
	gnuplot out/load/plot.gp out/dark/plot.gp

# Experiments; reports in out/.
experiment-%: all
	@mkdir -p out/$*
	$(B)/dwload -o out/$* experiments/$*.toml
	@[ ! -e out/$*/plot.gp ] || gnuplot out/$*/plot.gp

demo: all
	./demo.sh

clean:
	rm -rf build build-asan out

-include $(wildcard $(B)/*.d $(B)/platform/*.d $(B)/test/*.d)

.PHONY: all proto clean format format-check lint test test-unit test-path test-regress \
	test-asan test-soak test-crowd demo capacity
