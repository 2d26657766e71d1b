#include "opstate.h"

#include <stdlib.h>
#include <string.h>

#include "num.h"

void
ost_clear_domains(struct opstate *s)
{
    while (s->withdrawn_count > 0) {
        free(s->withdrawn[--s->withdrawn_count]);
    }
}

void
ost_free(struct opstate *s)
{
    ost_clear_domains(s);
    buf_free(&s->config);
}

static void
update_changed_rev(struct opstate *s, uint64_t rev)
{
    s->changed_rev = num_max(s->changed_rev, rev);
}

void
ost_set_config(struct opstate *s, struct str text, uint64_t rev)
{
    buf_free(&s->config);
    buf_add(&s->config, text);
    update_changed_rev(s, rev);
}

void
ost_set_domain(
    struct opstate *s, const char *domain, bool withdrawn, uint64_t rev)
{
    for (size_t i = 0; i < s->withdrawn_count; i++) {
        if (strcmp(s->withdrawn[i], domain) == 0) {
            free(s->withdrawn[i]);
            s->withdrawn[i] = s->withdrawn[--s->withdrawn_count];
            break;
        }
    }
    if (withdrawn && s->withdrawn_count < OST_DOMAINS_MAX) {
        s->withdrawn[s->withdrawn_count++] = str_dup(str_of(domain));
    }
    update_changed_rev(s, rev);
}

void
ost_set_known_rev(struct opstate *s, uint64_t rev)
{
    s->known_rev = num_max(s->known_rev, rev);
}

void
ost_set_store_state(struct opstate *s, uint64_t now, bool up)
{
    if (s->store_up && !up) {
        s->store_lost_ms = now;
    }
    s->store_up = up;
}

bool
ost_request_due(struct opstate *s, uint64_t now)
{
    if (s->store_up || now - s->store_lost_ms < OST_REQUEST_MS ||
        now - s->requested_ms < OST_REQUEST_MS) {
        return false;
    }
    s->requested_ms = now;
    return true;
}

void
ost_make_request(const struct opstate *s, dw_msg *out)
{
    memset(out, 0, sizeof(*out));
    out->type = DW_NEWS;
    out->dw_msg_u.news.question = true;
    out->dw_msg_u.news.as_of = s->known_rev;
}

bool
ost_make_reply(const struct opstate *s, const dw_news *request, dw_msg *out)
{
    dw_news *reply = &out->dw_msg_u.news;

    if (s->changed_rev <= request->as_of || s->config.n == 0) {
        return false;
    }
    memset(out, 0, sizeof(*out));
    out->type = DW_NEWS;
    reply->as_of = num_max(s->known_rev, s->changed_rev);
    reply->config.dw_value_val = str_dup(buf_str(&s->config));
    reply->config.dw_value_len = (u_int)s->config.n;
    reply->withdrawn.withdrawn_val =
        dw_zero(s->withdrawn_count, sizeof(*reply->withdrawn.withdrawn_val));
    reply->withdrawn.withdrawn_len = (u_int)s->withdrawn_count;
    for (size_t i = 0; i < s->withdrawn_count; i++) {
        reply->withdrawn.withdrawn_val[i] =
            str_to_bytes(str_of(s->withdrawn[i]));
    }
    return true;
}

bool
ost_apply_reply(struct opstate *s, const dw_news *reply)
{
    if (reply->question || reply->as_of <= s->known_rev) {
        return false;
    }
    ost_clear_domains(s);
    for (u_int i = 0; i < reply->withdrawn.withdrawn_len; i++) {
        char *domain = str_dup(str_bytes(&reply->withdrawn.withdrawn_val[i]));

        ost_set_domain(s, domain, true, reply->as_of);
        free(domain);
    }
    ost_set_config(s,
        str_make(reply->config.dw_value_val, reply->config.dw_value_len),
        reply->as_of);
    ost_set_known_rev(s, reply->as_of);
    return true;
}
