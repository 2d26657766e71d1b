/* The client of the platform's store, against a server in this process. */
#include <gtest/gtest.h>

#include <algorithm>
#include <ev.h>
#include <string>
#include <vector>

#include "http-script.hh"
#include "platform/kv.h"
#include "ports.hh"
#include "web.h"

namespace {

struct Store {
    struct ev_loop *loop = ev_loop_new(0);
    struct web *web = nullptr;
    struct httpc *http = nullptr;
    struct kv *kv = nullptr;
    int unanswered = 0; /* the first requests, which get no response */
    int received = 0;
    std::vector<struct web_req *> held;
    std::vector<kv_status> statuses;
    uint64_t rev = 0;

    Store()
    {
        uint16_t port = free_port();
        web_cfg cfg = {"127.0.0.1", port, {50, 1 << 16, 30, 0, 0, 0}};
        std::string url = "http://127.0.0.1:" + std::to_string(port);
        err e = {""};

        EXPECT_EQ(
            web_open(&web, loop, &cfg, on_request, on_disconnect, this, &e),
            WEB_OK)
            << e.msg;
        http = httpc_new(loop, 8);
        kv = kv_new(loop, http, url.c_str(), 1300);
    }
    ~Store()
    {
        kv_free(kv);
        httpc_free(http);
        while (!held.empty()) {
            struct web_req *r = held.back();

            held.pop_back();
            web_reply(r, 503, "text/plain", STR(""), 0);
        }
        web_close(web);
        ev_loop_destroy(loop);
    }
    static void
    on_request(void *ctx, struct web_req *r)
    {
        Store *s = static_cast<Store *>(ctx);

        if (++s->received > s->unanswered) {
            web_reply(r, 200, "application/json",
                STR("{\"items\":[],\"current_rev\":7}"), 0);
        }
        else {
            s->held.push_back(r);
        }
    }
    static void
    on_disconnect(void *ctx, struct web_req *r)
    {
        Store *s = static_cast<Store *>(ctx);

        s->held.erase(
            std::remove(s->held.begin(), s->held.end(), r), s->held.end());
    }
    static void
    on_answer(void *ctx, const kv_response *a)
    {
        Store *s = static_cast<Store *>(ctx);

        s->statuses.push_back(a->status);
        s->rev = a->rev;
        ev_break(s->loop, EVBREAK_ALL);
    }
};

} // namespace

/* A read sent while the store is unresponsive must not hang until its timeout
 * after the store has recovered: an entry that starts meanwhile would have no
 * configuration for a second.  It is resent; its callback is called once. */
TEST(Kv, ResendsAnUnansweredRead)
{
    Store s;

    s.unanswered = 2;
    kv_range(s.kv, "op/", nullptr, Store::on_answer, &s);
    ev_run(s.loop, 0);
    ASSERT_EQ(s.statuses.size(), 1u);
    EXPECT_EQ(s.statuses[0], KV_OK);
    EXPECT_EQ(s.rev, 7u);
    EXPECT_EQ(s.received, 3);
    EXPECT_EQ(kv_stats(s.kv)->resent, 2u);
}

TEST(Kv, ReportsAnUnresponsiveStoreOnce)
{
    Store s;

    s.unanswered = 1000;
    kv_range(s.kv, "op/", nullptr, Store::on_answer, &s);
    ev_run(s.loop, 0);
    ASSERT_EQ(s.statuses.size(), 1u);
    EXPECT_EQ(s.statuses[0], KV_UNKNOWN);
    EXPECT_EQ(s.received, 4);
}

/* A watch is meant to wait; resends would count against the store's rate. */
TEST(Kv, DoesNotResendAWatch)
{
    Store s;

    s.unanswered = 1;
    kv_watch(s.kv, "op/", 1, 400, Store::on_answer, &s);
    ev_run(s.loop, 0);
    ASSERT_EQ(s.statuses.size(), 1u);
    EXPECT_EQ(s.received, 1);
}

namespace {

/* A client of a scripted server. */
struct Scripted : http_script::Loop {
    http_script::Server server;
    struct httpc *http = httpc_new(loop, 8);
    std::string url = "http://127.0.0.1:" + std::to_string(server.port);
    struct kv *kv = kv_new(loop, http, url.c_str(), 1300);
    std::vector<kv_status> statuses;

    explicit Scripted(const std::vector<http_script::Step> &steps)
        : server(loop, steps)
    {
    }
    ~Scripted()
    {
        kv_free(kv);
        httpc_free(http);
    }
    static void
    on_answer(void *ctx, const kv_response *r)
    {
        Scripted *s = static_cast<Scripted *>(ctx);

        s->statuses.push_back(r->status);
        ev_break(s->loop, EVBREAK_ALL);
    }
    kv_status
    wait()
    {
        ev_run(loop, 0);
        return statuses.empty() ? KV_UNKNOWN : statuses.back();
    }
    kv_status
    put()
    {
        kv_put(kv, "a", STR("b"), 1, on_answer, this);
        return wait();
    }
    kv_status
    read()
    {
        kv_range(kv, "op/", nullptr, on_answer, this);
        return wait();
    }
};

} // namespace

/* Guards against a write that took effect and is reported as refused: the
 * store received a first copy without responding, or its connection broke, and
 * the refusal of a later copy was taken for that of the write. */
TEST(Kv, RefusalOfACopyIsNotARefusalOfTheWrite)
{
    using namespace http_script;
    static const struct {
        const char *name;
        std::vector<Step> steps; /* after one answered write */
        kv_status status;
    } cases[] = {
        {"refused", {ANSWER_503}, KV_BUSY},
        {"over the rate", {{ANSWER, 429}}, KV_BUSY},
        {"condition fails", {{ANSWER, 412}}, KV_CONFLICT},
        {"no such lease", {{ANSWER, 404}}, KV_NOT_FOUND},
        {"no response, resend refused", {{HANG}, ANSWER_503}, KV_UNKNOWN},
        {"no response, resend over the rate", {{HANG}, {ANSWER, 429}},
            KV_UNKNOWN},
        {"no response, condition fails for the resend",
            {{HANG}, {ANSWER, 412}}, KV_UNKNOWN},
        {"no response, resend succeeds", {{HANG}, ANSWER_200}, KV_OK},
        {"reset, copy refused", {{RESET}, ANSWER_503}, KV_UNKNOWN},
        {"reset, condition fails for the copy", {{RESET}, {ANSWER, 412}},
            KV_UNKNOWN},
        {"reset, no new connection", {{RESET_AND_REFUSE}}, KV_UNKNOWN},
        {"reset, copy succeeds", {{RESET}, ANSWER_200}, KV_OK},
    };

    for (const auto &c : cases) {
        SCOPED_TRACE(c.name);
        std::vector<Step> steps = c.steps;

        steps.insert(steps.begin(), ANSWER_200);
        Scripted s(steps);

        EXPECT_EQ(s.put(), KV_OK);
        EXPECT_EQ(s.put(), c.status);
    }
}

/* Guards against evacuations and members that are all dropped because a
 * response without content passed for an empty list. */
TEST(Kv, ResponseWithoutARevisionIsNotAnEmptyList)
{
    using namespace http_script;
    static const struct {
        const char *body;
        kv_status status;
    } cases[] = {
        {"", KV_UNKNOWN}, {"{}", KV_UNKNOWN}, {"[]", KV_UNKNOWN},
        {"{\"items\":[]}", KV_UNKNOWN},
        {"{\"items\":[],\"current_rev\":", KV_UNKNOWN},
        {"{\"items\":[],\"current_rev\":7}", KV_OK},
        {"{\"current_rev\":7}", KV_OK}, /* empty lists may be omitted */
    };

    for (const auto &c : cases) {
        SCOPED_TRACE(c.body);
        Scripted s({{ANSWER, 200, c.body}});

        EXPECT_EQ(s.read(), c.status);
    }
}
