/* The HTTP client against a scripted server on loopback that breaks
 * connections. */
#include <gtest/gtest.h>

#include <ev.h>
#include <string>
#include <vector>

#include "http-script.hh"
#include "httpc.h"

using namespace http_script;

namespace {

struct Result {
    httpc_status status;
    long http_status;
    uint32_t sends;
};

struct Client {
    struct ev_loop *loop;
    struct httpc *http;
    std::vector<Result> results;
    bool timed_out = false;

    explicit Client(struct ev_loop *l) : loop(l), http(httpc_new(l, 6))
    {
    }
    ~Client()
    {
        httpc_free(http);
    }
    static void
    on_done(void *ctx, const httpc_result *r)
    {
        Client *c = static_cast<Client *>(ctx);

        c->results.push_back({r->status, r->http_status, r->sends});
        ev_break(c->loop, EVBREAK_ALL);
    }
    static void
    on_timeout(struct ev_loop *loop, ev_timer *t, int)
    {
        static_cast<Client *>(t->data)->timed_out = true;
        ev_break(loop, EVBREAK_ALL);
    }
    void
    run()
    {
        ev_timer t;

        ev_timer_init(&t, on_timeout, 10, 0);
        t.data = this;
        ev_timer_start(loop, &t);
        ev_run(loop, 0);
        ev_timer_stop(loop, &t);
    }
    /* Sends a request and waits for its result. */
    Result
    call(uint16_t port, const char *method, bool idempotent = false)
    {
        std::string url = "http://127.0.0.1:" + std::to_string(port) + "/x";
        httpc_call h = {};

        h.method = method;
        h.url = url.c_str();
        h.body = STR("x");
        h.idempotent = idempotent;
        h.timeout_ms = 2000;
        h.connect_timeout_ms = 2000;
        h.done = on_done;
        h.ctx = this;
        httpc_start(http, &h);
        run();
        return results.empty() ? Result{HTTPC_NOT_SENT, 0, 0} : results.back();
    }
};

} // namespace

/* Guards against a task that runs twice: its start is received, the connection
 * breaks, libcurl sends a second copy, and the refusal of that copy is taken
 * for a refusal of the start. */
TEST(Httpc, CallThatChangesStateIsSentOnce)
{
    static const struct {
        const char *name;
        Step broken; /* after the request was received */
        Step next;
    } cases[] = {
        {"reset, the copy is refused", {RESET}, ANSWER_503},
        {"reset, the copy succeeds", {RESET}, ANSWER_200},
        {"reset, no new connection", {RESET_AND_REFUSE}, ANSWER_200},
        {"closed, the copy is refused", {CLOSE}, ANSWER_503},
    };

    for (const auto &c : cases) {
        SCOPED_TRACE(c.name);
        struct ev_loop *loop = ev_loop_new(0);
        {
            Server server(loop, {ANSWER_200, c.broken, c.next});
            Client client(loop);
            Result r;

            EXPECT_EQ(client.call(server.port, "POST").status, HTTPC_OK);
            r = client.call(server.port, "POST");
            EXPECT_EQ(r.status, HTTPC_FAILED_AFTER_SEND);
            EXPECT_EQ(r.http_status, 0);
            EXPECT_EQ(server.received, 2u);
            EXPECT_FALSE(client.timed_out);
        }
        ev_loop_destroy(loop);
    }
}

/* Guards against a start reported as lost although it was never sent. */
TEST(Httpc, RefusedConnectionMeansNotSent)
{
    struct ev_loop *loop = ev_loop_new(0);
    {
        Server server(loop, {});
        Client client(loop);

        server.refuse();
        EXPECT_EQ(client.call(server.port, "POST").status, HTTPC_NOT_SENT);
        EXPECT_EQ(server.received, 0u);
    }
    ev_loop_destroy(loop);
}

/* Guards against reads and repeatable calls that fail whenever a server closes
 * an idle connection at the moment of its reuse. */
TEST(Httpc, RepeatableCallSurvivesABrokenConnection)
{
    static const struct {
        const char *name;
        const char *method;
        bool idempotent;
        Step broken;
    } cases[] = {
        {"GET, reset", "GET", false, {RESET}},
        {"GET, closed", "GET", false, {CLOSE}},
        {"POST, reset", "POST", true, {RESET}},
        {"POST, closed", "POST", true, {CLOSE}},
        {"DELETE, reset", "DELETE", true, {RESET}},
    };

    for (const auto &c : cases) {
        SCOPED_TRACE(c.name);
        struct ev_loop *loop = ev_loop_new(0);
        {
            Server server(loop, {ANSWER_200, c.broken, ANSWER_200});
            Client client(loop);
            Result r;

            client.call(server.port, c.method, c.idempotent);
            r = client.call(server.port, c.method, c.idempotent);
            EXPECT_EQ(r.status, HTTPC_OK);
            EXPECT_EQ(r.http_status, 200);
            EXPECT_EQ(r.sends, 2u);
            EXPECT_EQ(server.received, 3u);
        }
        ev_loop_destroy(loop);
    }
}
