/* Table-driven tests of the small modules. */
#include <gtest/gtest.h>

#include <cstdio>
#include <cstring>
#include <string>
#include <unistd.h>

#include "conf.h"
#include "contract.h"
#include "place.h"
#include "subkey.h"
#include "view.h"

/* --- contracts --- */

struct ContractCase {
    const char *json;
    ct_status status;
    const char *words; /* that the error message must contain */
};

static const ContractCase contracts[] = {
    {"{\"customer\":\"a\"}", CT_OK, ""},
    {"{\"customer\":\"a\",\"rate\":5,\"guaranteed\":5,\"running\":5}", CT_OK,
        ""},
    {"{\"customer\":\"a\",", CT_BAD_JSON, "line 1"},
    {"[]", CT_BAD_JSON, "want an object"},
    {"{}", CT_BAD_FIELD, "'customer' is missing"},
    {"{\"customer\":\"A b\"}", CT_BAD_FIELD, "'customer'"},
    {"{\"customer\":\"a\",\"rate\":0}", CT_BAD_FIELD, "from 1 to 1000000"},
    {"{\"customer\":\"a\",\"rate\":\"5\"}", CT_BAD_FIELD, "'rate'"},
    {"{\"customer\":\"a\",\"rate\":1.5}", CT_BAD_FIELD, "whole number"},
    {"{\"customer\":\"a\",\"max_tasks\":451}", CT_BAD_FIELD, "450"},
    {"{\"customer\":\"a\",\"speed\":1}", CT_BAD_FIELD, "'speed' is not known"},
    {"{\"customer\":\"a\",\"token_sha256\":\"xyz\"}", CT_BAD_FIELD, "64"},
    {"{\"customer\":\"a\",\"rate\":5,\"rate\":6}", CT_BAD_JSON, "duplicate"},
    {"{\"customer\":\"a\",\"running\":2,\"guaranteed\":3}", CT_BAD_FIELD,
        "above 'running'"},
};

TEST(Contract, EachErrorNamesTheField)
{
    for (auto &c : contracts) {
        contract got;
        err e = {""};

        EXPECT_EQ(ct_parse(&got, str_of(c.json), &e), c.status) << c.json;
        EXPECT_NE(strstr(e.msg, c.words), nullptr) << c.json << ": " << e.msg;
    }
}

TEST(Contract, FormatAndParseAgree)
{
    contract a;
    contract b;
    buf text = {};

    ASSERT_EQ(
        ct_parse(&a, STR("{\"customer\":\"a\",\"rate\":7}"), nullptr), CT_OK);
    ct_format(&a, &text);
    ASSERT_EQ(ct_parse(&b, buf_str(&text), nullptr), CT_OK);
    EXPECT_EQ(memcmp(&a, &b, sizeof(a)), 0);
    buf_free(&text);
}

/* The largest domain counts as withdrawn; the message shows the figures. */
TEST(Contract, GuaranteesFitWithTheLargestDomainWithdrawn)
{
    const ct_domain ds[] = {{"kolding", 24}, {"aarhus", 32}, {"herning", 24}};
    err e = {""};

    EXPECT_EQ(ct_guarantees_fit(48, ds, 3, &e), CT_OK);
    EXPECT_EQ(ct_guarantees_fit(49, ds, 3, &e), CT_OVERCOMMITTED);
    EXPECT_NE(strstr(e.msg, "49"), nullptr) << e.msg;
    EXPECT_NE(strstr(e.msg, "aarhus, 32"), nullptr) << e.msg;
    EXPECT_NE(strstr(e.msg, "48 of 80"), nullptr) << e.msg;
}

TEST(Contract, TokenHashIsSha256)
{
    char hash[CT_HASH_HEX + 1];

    ct_token_hash(STR("abc"), hash);
    EXPECT_STREQ(hash,
        "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

/* --- keys --- */

struct Uuid7Case {
    const char *key;
    bool is;
    uint64_t ms;
};

static const Uuid7Case uuids[] = {
    {"017f22e2-79b0-7cc3-98c4-dc0c0c07398f", true, 0x017f22e279b0},
    {"017f22e2-79b0-4cc3-98c4-dc0c0c07398f", false, 0},
    {"017f22e279b07cc398c4dc0c0c07398f", false, 0},
    {"017f22e2-79b0-7cc3-98c4-dc0c0c07398", false, 0},
    {"017f22e2-79b0-7cc3-98c4-dc0c0c07398G", false, 0},
    {"order-17", false, 0},
};

TEST(Subkey, Uuid7)
{
    for (auto &c : uuids) {
        uint64_t ms = 0;

        EXPECT_EQ(sk_uuid7_ms(str_of(c.key), &ms), c.is) << c.key;
        EXPECT_EQ(ms, c.ms) << c.key;
    }
}

/* --- settings --- */

struct ConfCase {
    const char *change; /* a line of the valid file, or "" to add one */
    const char *line;   /* the line to put there */
    conf_status status;
    const char *words;
};

static const char valid_settings[] = "[process]\n"
                                     "role = \"agent\"\n"
                                     "name = \"a1\"\n"
                                     "domain = \"kolding\"\n"
                                     "address = \"127.0.0.1\"\n"
                                     "port = 7301\n"
                                     "http_port = 7401\n"
                                     "[store]\n"
                                     "url = \"http://127.0.0.1:7000\"\n";

static const ConfCase confs[] = {
    {"", "", CONF_OK, ""},
    {"port = 7301", "port = 0", CONF_BAD_VALUE,
        ":6: key 'process.port': want a whole number from 1 to 65535"},
    {"port = 7301", "port = \"x\"", CONF_BAD_VALUE, ":6: key 'process.port'"},
    {"role = \"agent\"", "role = \"boss\"", CONF_BAD_VALUE,
        "want \"entry\" or \"agent\""},
    {"role = \"agent\"", "", CONF_BAD_VALUE, "'process.role' is missing"},
    {"name = \"a1\"", "name = \"A 1\"", CONF_BAD_VALUE, ":3: key"},
    {"address = \"127.0.0.1\"", "address = \"localhost\"", CONF_BAD_VALUE,
        "numeric IPv4"},
    {"", "speed = 3", CONF_BAD_VALUE, "'store.speed' is not known"},
    {"", "[jobs]\nrefuse_ms = 2000", CONF_BAD_VALUE, "jobs.max_age_ms"},
    {"[store]", "[store", CONF_BAD_SYNTAX, ":8: "},
    {"", "[log]\nlevel = \"loud\"", CONF_BAD_VALUE, "\"debug\""},
    {"", "[jobs]\nplacement = \"random\"", CONF_OK, ""},
    {"", "[jobs]\nplacement = \"best\"", CONF_BAD_VALUE, "\"round\""},
};

TEST(Conf, EachErrorNamesTheLineOrKey)
{
    for (auto &c : confs) {
        std::string text = valid_settings;
        char path[] = "/tmp/dunlinweir-conf-XXXXXX";
        int fd = mkstemp(path);
        static conf got;
        err e = {""};

        ASSERT_GE(fd, 0);
        if (c.change[0] != '\0') {
            text.replace(text.find(c.change), strlen(c.change), c.line);
        }
        else {
            text += std::string(c.line) + "\n";
        }
        ASSERT_EQ(write(fd, text.data(), text.size()),
            static_cast<ssize_t>(text.size()));
        close(fd);
        EXPECT_EQ(conf_read(&got, path, &e), c.status) << c.line;
        EXPECT_NE(strstr(e.msg, c.words), nullptr) << c.line << ": " << e.msg;
        unlink(path);
    }
}

TEST(Conf, AMissingFileIsNamed)
{
    static conf got;
    err e = {""};

    EXPECT_EQ(conf_read(&got, "/nowhere/x.toml", &e), CONF_BAD_FILE);
    EXPECT_NE(strstr(e.msg, "/nowhere/x.toml"), nullptr) << e.msg;
}

/* --- the view --- */

static void
add_kv(dw_state *s, const char *key, const char *value, uint64_t mod)
{
    dw_kv *kv = &s->kvs.kvs_val[s->kvs.kvs_len++];

    kv->key = str_to_bytes(str_of(key));
    kv->mod = mod;
    kv->deleted = value == nullptr;
    if (value != nullptr) {
        kv->value.dw_value_val = str_dup(str_of(value));
        kv->value.dw_value_len = strlen(value);
    }
}

static dw_state
state(uint64_t rev, bool complete)
{
    dw_state s = {};

    s.rev = rev;
    s.whole = complete;
    s.kvs.kvs_val = static_cast<dw_kv *>(dw_zero(8, sizeof(dw_kv)));
    return s;
}

/* An older state that arrives late must not undo a change. */
TEST(View, OnlyAHigherRevisionIsAdopted)
{
    view v;

    view_init(&v);
    dw_state s = state(10, true);
    add_kv(&s, VIEW_DOMAIN "aarhus", "{\"in\":false}", 10);
    EXPECT_TRUE(view_apply(&v, &s));
    EXPECT_FALSE(view_domain_in_service(&v, "aarhus"));

    dw_state old = state(9, true);
    add_kv(&old, VIEW_DOMAIN "aarhus", "{\"in\":true}", 9);
    EXPECT_FALSE(view_apply(&v, &old));
    EXPECT_FALSE(view_domain_in_service(&v, "aarhus"));
    EXPECT_EQ(v.rev, 10U);
    xdr_free((xdrproc_t)xdr_dw_state, &s);
    xdr_free((xdrproc_t)xdr_dw_state, &old);
    view_free(&v);
}

/* A peer that is out of date gets only the changes, including deletions. */
TEST(View, ChangesIncludeDeletions)
{
    view a;
    view b;

    view_init(&a);
    view_init(&b);
    dw_state s = state(10, true);
    add_kv(&s, VIEW_CONTRACT "one", "{\"customer\":\"one\"}", 10);
    add_kv(&s, VIEW_CONTRACT "two", "{\"customer\":\"two\"}", 9);
    view_apply(&a, &s);
    view_apply(&b, &s);
    dw_state next = state(12, false);
    add_kv(&next, VIEW_CONTRACT "one", nullptr, 11);
    add_kv(&next, VIEW_CONTRACT "three", "{\"customer\":\"three\"}", 12);
    view_apply(&a, &next);

    dw_state delta = {};
    view_changes(&a, 10, &delta);
    EXPECT_FALSE(delta.whole);
    EXPECT_EQ(delta.kvs.kvs_len, 2U);
    EXPECT_TRUE(view_apply(&b, &delta));
    EXPECT_EQ(view_contract(&b, STR("one")), nullptr);
    EXPECT_NE(view_contract(&b, STR("two")), nullptr);
    EXPECT_NE(view_contract(&b, STR("three")), nullptr);
    for (dw_state *x : {&s, &next, &delta}) {
        xdr_free((xdrproc_t)xdr_dw_state, x);
    }
    view_free(&a);
    view_free(&b);
}

TEST(View, MapFormatAndParseAgree)
{
    view v;
    view_part parts[VIEW_PARTS];
    view_loss lost = {77, 1234};
    buf text = {};

    for (uint32_t i = 0; i < VIEW_PARTS; i++) {
        parts[i] = view_part{1000 + i % 7, 3 + i % 2, i % 5};
    }
    view_format_map(parts, 4, &lost, 1, &text);
    view_init(&v);
    dw_state s = state(5, true);
    add_kv(&s, VIEW_MAP, text.p, 5);
    view_apply(&v, &s);
    ASSERT_TRUE(v.have_map);
    EXPECT_EQ(v.map_epoch, 4U);
    ASSERT_EQ(v.loss_count, 1U);
    EXPECT_EQ(v.losses[0].age_ms, 1234U);
    for (uint32_t i = 0; i < VIEW_PARTS; i++) {
        ASSERT_EQ(v.parts[i].owner, parts[i].owner) << i;
        ASSERT_EQ(v.parts[i].epoch, parts[i].epoch) << i;
        ASSERT_EQ(v.parts[i].nonce, parts[i].nonce) << i;
    }
    buf_free(&text);
    xdr_free((xdrproc_t)xdr_dw_state, &s);
    view_free(&v);
}
