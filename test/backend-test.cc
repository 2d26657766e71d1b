/* The client of the backend server and the worker, against a scripted server
 * that answers, refuses or breaks connections. */
#include <gtest/gtest.h>

#include <cstring>
#include <string>
#include <vector>

#include "backend.h"
#include "http-script.hh"

using namespace http_script;

namespace {

struct Agent : Loop {
    Server server;
    struct httpc *http = httpc_new(loop, 8);
    struct backend *backend;
    bool allow = true; /* reply of may_start() */
    size_t asked = 0;  /* calls of may_start() */
    std::vector<dw_tstate> states;

    explicit Agent(const std::vector<Step> &steps) : server(loop, steps)
    {
        static const backend_events events = {
            on_may_start, on_ended, on_usage};
        /* Leases that are not renewed during a test. */
        static const backend_cfg cfg = {60000, 500};
        std::string url = "http://127.0.0.1:" + std::to_string(server.port);

        backend = backend_new(loop, http, &cfg, &events, this);
        backend_set_urls(backend, url.c_str(), url.c_str());
    }
    ~Agent()
    {
        backend_free(backend);
        httpc_free(http);
    }
    static bool
    on_may_start(void *ctx, uint64_t)
    {
        Agent *a = static_cast<Agent *>(ctx);

        a->asked++;
        return a->allow;
    }
    static void
    on_ended(void *ctx, uint64_t, dw_tstate state, uint32_t, struct str)
    {
        Agent *a = static_cast<Agent *>(ctx);

        a->states.push_back(state);
        ev_break(a->loop, EVBREAK_ALL);
    }
    static void
    on_usage(void *, struct str, uint32_t, uint32_t)
    {
    }
    /* Runs a task and returns the state that it ended in. */
    dw_tstate
    run()
    {
        host_rec rec = {};
        host_run r = {};
        size_t n = states.size();

        EXPECT_TRUE(sk_make(&rec.sk, STR("c"), STR("k")));
        r.ref = n + 1;
        r.rec = &rec;
        r.deadline_ms = 500;
        backend_run(backend, &r);
        ev_run(loop, 0);
        EXPECT_EQ(states.size(), n + 1);
        return states.back();
    }
    void
    wait_ms(double ms)
    {
        ev_timer t;

        ev_timer_init(
            &t,
            [](struct ev_loop *l, ev_timer *, int) {
                ev_break(l, EVBREAK_ALL);
            },
            ms / 1000, 0);
        ev_timer_start(loop, &t);
        ev_run(loop, 0);
        ev_timer_stop(loop, &t);
    }
};

} // namespace

/* Guards against a task that runs while its owner takes it for not started or
 * failed: only a request that was not sent may count as not started, and only
 * the response to the one copy tells how the task ended. */
TEST(Backend, StateFollowsWhatIsKnownOfTheOneRequest)
{
    static const struct {
        const char *name;
        std::vector<Step> steps; /* after one task that is done */
        bool allow;
        dw_tstate state;
        size_t received;
    } cases[] = {
        {"done", {ANSWER_200}, true, DW_T_DONE, 2},
        {"failed", {ANSWER_503}, true, DW_T_ERROR, 2},
        {"stopped", {{ANSWER, 410}}, true, DW_T_STOPPED, 2},
        {"not allowed", {ANSWER_200}, false, DW_T_NOT_STARTED, 1},
        {"reset, a copy would fail", {{RESET}, ANSWER_503}, true, DW_T_UNKNOWN,
            2},
        {"reset, a copy would be stopped", {{RESET}, {ANSWER, 410}}, true,
            DW_T_UNKNOWN, 2},
        {"closed, a copy would be done", {{CLOSE}, ANSWER_200}, true,
            DW_T_UNKNOWN, 2},
        {"reset, no new connection", {{RESET_AND_REFUSE}}, true, DW_T_UNKNOWN,
            2},
    };

    for (const auto &c : cases) {
        SCOPED_TRACE(c.name);
        std::vector<Step> steps = c.steps;

        steps.insert(steps.begin(), ANSWER_200);
        Agent a(steps);

        EXPECT_EQ(a.run(), DW_T_DONE);
        a.allow = c.allow;
        EXPECT_EQ(a.run(), c.state);
        EXPECT_EQ(a.asked, 2u);
        EXPECT_EQ(a.server.received, c.received);
    }
}

/* Guards against a task that counts as unknown although nothing was sent. */
TEST(Backend, RefusedConnectionMeansNotStarted)
{
    Agent a({});

    a.server.refuse();
    EXPECT_EQ(a.run(), DW_T_NOT_STARTED);
    EXPECT_EQ(a.server.received, 0u);
}

/* Guards against a stop that is lost with an idle connection: it is sent only
 * once, and the task would run on until its deadline. */
TEST(Backend, StopSurvivesABrokenConnection)
{
    Agent a({ANSWER_200, {RESET}, ANSWER_200});

    EXPECT_EQ(a.run(), DW_T_DONE);
    backend_stop(a.backend, 1);
    a.wait_ms(100);
    EXPECT_EQ(a.server.received, 3u);
}
