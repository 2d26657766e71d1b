/* The client of the fleet's own store, against a scripted server that answers
 * as the etcd gateway does or breaks connections. */
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "http-script.hh"
#include "store.h"
#include "view.h"

using namespace http_script;

namespace {

const char *const EMPTY = "{\"header\":{\"revision\":\"7\"}}";
const char *const WRITTEN =
    "{\"header\":{\"revision\":\"7\"},\"succeeded\":true}";

enum Call { CHECK, READ, TXN };

struct Client : Loop {
    Server server;
    struct httpc *http = httpc_new(loop, 8);
    std::string url = "http://127.0.0.1:" + std::to_string(server.port);
    struct store *store = store_etcd(loop, http, url.c_str(), 500);
    std::vector<store_status> statuses;
    int changes = 0;

    explicit Client(const std::vector<Step> &steps) : server(loop, steps)
    {
    }
    ~Client()
    {
        store->ops->free(store);
        httpc_free(http);
    }
    static void
    on_rev(void *ctx, store_status st, uint64_t)
    {
        Client *c = static_cast<Client *>(ctx);

        c->statuses.push_back(st);
        ev_break(c->loop, EVBREAK_ALL);
    }
    static void
    on_read(void *ctx, store_status st, const dw_state *)
    {
        on_rev(ctx, st, 0);
    }
    void
    start(Call call)
    {
        struct txn *t;

        switch (call) {
        case CHECK:
            store->ops->check(store, on_rev, this);
            break;
        case READ:
            store->ops->read(store, VIEW_PREFIX, on_read, this);
            break;
        case TXN:
            t = txn_new();
            txn_compare(t, "k", 3);
            txn_put(t, "k", "v");
            store->ops->txn(store, t, on_rev, this);
            txn_free(t);
        }
    }
    store_status
    run(Call call)
    {
        size_t n = statuses.size();

        start(call);
        ev_run(loop, 0);
        EXPECT_EQ(statuses.size(), n + 1);
        return statuses.back();
    }
};

} // namespace

/* Guards against a compare-and-set that took effect and is reported as lost to
 * another writer, because its comparison fails for a second copy. */
TEST(Store, TransactionIsSentOnce)
{
    static const struct {
        const char *name;
        Step broken;
        Step next;
    } cases[] = {
        {"reset, the comparison fails for a copy", {RESET},
            {ANSWER, 200, EMPTY}},
        {"closed, the comparison fails for a copy", {CLOSE},
            {ANSWER, 200, EMPTY}},
        {"reset, a copy is refused", {RESET}, ANSWER_503},
        {"reset, no new connection", {RESET_AND_REFUSE}, ANSWER_503},
    };

    for (const auto &c : cases) {
        SCOPED_TRACE(c.name);
        Client s({{ANSWER, 200, WRITTEN}, c.broken, c.next});

        EXPECT_EQ(s.run(TXN), STORE_OK);
        EXPECT_EQ(s.run(TXN), STORE_UNKNOWN);
        EXPECT_EQ(s.server.received, 2u);
    }
}

/* Guards against reads that fail whenever the store closes an idle connection
 * at the moment of its reuse: the copy of the state would count as stale. */
TEST(Store, ReadSurvivesABrokenConnection)
{
    for (Call call : {CHECK, READ}) {
        SCOPED_TRACE(call);
        Client s({{ANSWER, 200, EMPTY}, {RESET}, {ANSWER, 200, EMPTY}});

        EXPECT_EQ(s.run(call), STORE_OK);
        EXPECT_EQ(s.run(call), STORE_OK);
        EXPECT_EQ(s.server.received, 3u);
    }
}

/* Guards against a response without content that passes for an empty state, or
 * for a comparison that failed. */
TEST(Store, ResponseWithoutAHeaderIsNone)
{
    static const struct {
        const char *name;
        Call call;
        Step step;
        store_status status;
    } cases[] = {
        {"read, empty state", READ, {ANSWER, 200, EMPTY}, STORE_OK},
        {"read, empty object", READ, {ANSWER, 200, "{}"}, STORE_UNREACHABLE},
        {"read, empty body", READ, {ANSWER, 200, ""}, STORE_UNREACHABLE},
        {"read, error", READ, {ANSWER, 503, EMPTY}, STORE_UNREACHABLE},
        {"check, empty object", CHECK, {ANSWER, 200, "{}"}, STORE_UNREACHABLE},
        {"txn, written", TXN, {ANSWER, 200, WRITTEN}, STORE_OK},
        {"txn, comparison failed", TXN, {ANSWER, 200, EMPTY}, STORE_CONFLICT},
        {"txn, empty object", TXN, {ANSWER, 200, "{}"}, STORE_UNKNOWN},
        {"txn, no object", TXN, {ANSWER, 200, "[]"}, STORE_UNKNOWN},
        {"txn, error", TXN, {ANSWER, 503, EMPTY}, STORE_UNKNOWN},
        {"txn, no response", TXN, {HANG}, STORE_UNKNOWN},
    };

    for (const auto &c : cases) {
        SCOPED_TRACE(c.name);
        Client s({c.step});

        EXPECT_EQ(s.run(c.call), c.status);
    }
}
