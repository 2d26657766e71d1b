#include "opstate.h"

#include <stdlib.h>
#include <string.h>

#include "num.h"

void
ost_clear_domains(struct opstate *n)
{
    while (n->withdrawn_count > 0) {
        free(n->withdrawn[--n->withdrawn_count]);
    }
}

void
ost_free(struct opstate *n)
{
    ost_clear_domains(n);
    buf_free(&n->config);
}

static void
update_changed_rev(struct opstate *n, uint64_t rev)
{
    n->changed_rev = num_max(n->changed_rev, rev);
}

void
ost_set_config(struct opstate *n, struct str text, uint64_t rev)
{
    buf_free(&n->config);
    buf_add(&n->config, text);
    update_changed_rev(n, rev);
}

void
ost_set_domain(
    struct opstate *n, const char *domain, bool withdrawn, uint64_t rev)
{
    for (size_t i = 0; i < n->withdrawn_count; i++) {
        if (strcmp(n->withdrawn[i], domain) == 0) {
            free(n->withdrawn[i]);
            n->withdrawn[i] = n->withdrawn[--n->withdrawn_count];
            break;
        }
    }
    if (withdrawn && n->withdrawn_count < OST_DOMAINS_MAX) {
        n->withdrawn[n->withdrawn_count++] = str_dup(str_of(domain));
    }
    update_changed_rev(n, rev);
}

void
ost_set_known_rev(struct opstate *n, uint64_t rev)
{
    n->known_rev = num_max(n->known_rev, rev);
}

void
ost_set_store_state(struct opstate *n, uint64_t now, bool up)
{
    if (n->store_up && !up) {
        n->store_lost_ms = now;
    }
    n->store_up = up;
}

bool
ost_request_due(struct opstate *n, uint64_t now)
{
    if (n->store_up || now - n->store_lost_ms < OST_REQUEST_MS ||
        now - n->requested_ms < OST_REQUEST_MS) {
        return false;
    }
    n->requested_ms = now;
    return true;
}

void
ost_make_request(const struct opstate *n, dw_msg *out)
{
    memset(out, 0, sizeof(*out));
    out->type = DW_NEWS;
    out->dw_msg_u.news.question = true;
    out->dw_msg_u.news.as_of = n->known_rev;
}

bool
ost_make_reply(const struct opstate *n, const dw_news *request, dw_msg *out)
{
    dw_news *reply = &out->dw_msg_u.news;

    if (n->changed_rev <= request->as_of || n->config.n == 0) {
        return false;
    }
    memset(out, 0, sizeof(*out));
    out->type = DW_NEWS;
    reply->as_of = num_max(n->known_rev, n->changed_rev);
    reply->config.dw_value_val = str_dup(buf_str(&n->config));
    reply->config.dw_value_len = (u_int)n->config.n;
    reply->withdrawn.withdrawn_val =
        dw_zero(n->withdrawn_count, sizeof(*reply->withdrawn.withdrawn_val));
    reply->withdrawn.withdrawn_len = (u_int)n->withdrawn_count;
    for (size_t i = 0; i < n->withdrawn_count; i++) {
        reply->withdrawn.withdrawn_val[i] =
            str_to_bytes(str_of(n->withdrawn[i]));
    }
    return true;
}

bool
ost_apply_reply(struct opstate *n, const dw_news *reply)
{
    if (reply->question || reply->as_of <= n->known_rev) {
        return false;
    }
    ost_clear_domains(n);
    for (u_int i = 0; i < reply->withdrawn.withdrawn_len; i++) {
        char *domain = str_dup(str_bytes(&reply->withdrawn.withdrawn_val[i]));

        ost_set_domain(n, domain, true, reply->as_of);
        free(domain);
    }
    ost_set_config(n,
        str_make(reply->config.dw_value_val, reply->config.dw_value_len),
        reply->as_of);
    ost_set_known_rev(n, reply->as_of);
    return true;
}
