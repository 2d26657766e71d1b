/* Routes: matching of requests, and the version in force. */
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "route.h"

static rt_table
table_of(
    uint64_t version, std::vector<std::pair<const char *, const char *>> v)
{
    rt_table t = {};

    t.version = version;
    for (auto &r : v) {
        rt_route *to = rt_add(&t);

        to->name = str_dup(str_of(r.second));
        to->host = str_dup(str_of(r.first));
        to->prefix = str_dup(str_of(r.second));
        to->prefix_len = strlen(r.second);
        to->service = str_dup(STR("s"));
    }
    return t;
}

static const struct {
    const char *host;
    const char *path;
    const char *prefix; /* NULL: none */
} matches[] = {
    {"h.example", "/a/1", "/a/"},
    {"h.example", "/a/b/1", "/a/b/"},
    {"H.Example", "/a/1", "/a/"},
    {"h.example:8080", "/a/1", "/a/"},
    {"g.example", "/a/1", nullptr},
    {"h.example.org", "/a/1", nullptr},
    {"h.example", "/b/1", nullptr},
    {"h.example", "/a", nullptr},
    {"", "/a/1", nullptr},
};

TEST(Route, LongestPrefixOfTheHost)
{
    rt_table t = table_of(1, {{"h.example", "/a/"}, {"h.example", "/a/b/"}});

    for (auto &m : matches) {
        const rt_route *r = rt_match(&t, str_of(m.host), str_of(m.path));

        EXPECT_STREQ(r != nullptr ? r->prefix : nullptr, m.prefix)
            << m.host << m.path;
    }
    rt_free(&t);
}

/* Guards against a 404 for a route that worked a moment ago: an older version
 * of the configuration arrives after the newer one, from a slow reader or
 * another entry, and must not replace it. */
TEST(Route, AnOlderVersionNeverReplacesANewerOne)
{
    rt_table t = table_of(5, {{"h", "/new/"}});
    rt_table older = table_of(4, {{"h", "/old/"}});
    rt_table newer = table_of(9, {{"h", "/newest/"}});

    EXPECT_FALSE(rt_replace(&t, &older));
    EXPECT_NE(rt_match(&t, STR("h"), STR("/new/1")), nullptr);
    EXPECT_TRUE(rt_replace(&t, &newer));
    EXPECT_NE(rt_match(&t, STR("h"), STR("/newest/1")), nullptr);
    rt_free(&t);
}
