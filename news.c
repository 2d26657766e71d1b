#include "news.h"

#include <stdlib.h>
#include <string.h>

#include "num.h"

void
nw_clear_domains(struct news *n)
{
    while (n->withdrawn_count > 0) {
        free(n->withdrawn[--n->withdrawn_count]);
    }
}

void
nw_free(struct news *n)
{
    nw_clear_domains(n);
    buf_free(&n->config);
}

static void
note_change(struct news *n, uint64_t rev)
{
    n->changed = num_max(n->changed, rev);
}

void
nw_config(struct news *n, struct str text, uint64_t rev)
{
    buf_free(&n->config);
    buf_add(&n->config, text);
    note_change(n, rev);
}

void
nw_domain(struct news *n, const char *domain, bool out, uint64_t rev)
{
    for (size_t i = 0; i < n->withdrawn_count; i++) {
        if (strcmp(n->withdrawn[i], domain) == 0) {
            free(n->withdrawn[i]);
            n->withdrawn[i] = n->withdrawn[--n->withdrawn_count];
            break;
        }
    }
    if (out && n->withdrawn_count < NW_DOMAINS_MAX) {
        n->withdrawn[n->withdrawn_count++] = str_dup(str_of(domain));
    }
    note_change(n, rev);
}

void
nw_seen(struct news *n, uint64_t rev)
{
    n->as_of = num_max(n->as_of, rev);
}

void
nw_store(struct news *n, uint64_t now, bool answers)
{
    if (n->answers && !answers) {
        n->lost_ms = now;
    }
    n->answers = answers;
}

bool
nw_must_ask(struct news *n, uint64_t now)
{
    if (n->answers || now - n->lost_ms < NW_ASK_MS ||
        now - n->asked_ms < NW_ASK_MS) {
        return false;
    }
    n->asked_ms = now;
    return true;
}

void
nw_question(const struct news *n, dw_msg *out)
{
    memset(out, 0, sizeof(*out));
    out->type = DW_NEWS;
    out->dw_msg_u.news.question = true;
    out->dw_msg_u.news.as_of = n->as_of;
}

bool
nw_answer(const struct news *n, const dw_news *asked, dw_msg *out)
{
    dw_news *told = &out->dw_msg_u.news;

    if (n->changed <= asked->as_of || n->config.n == 0) {
        return false;
    }
    memset(out, 0, sizeof(*out));
    out->type = DW_NEWS;
    told->as_of = num_max(n->as_of, n->changed);
    told->config.dw_value_val = str_dup(buf_str(&n->config));
    told->config.dw_value_len = (u_int)n->config.n;
    told->withdrawn.withdrawn_val =
        dw_zero(n->withdrawn_count, sizeof(*told->withdrawn.withdrawn_val));
    told->withdrawn.withdrawn_len = (u_int)n->withdrawn_count;
    for (size_t i = 0; i < n->withdrawn_count; i++) {
        told->withdrawn.withdrawn_val[i] =
            str_to_bytes(str_of(n->withdrawn[i]));
    }
    return true;
}

bool
nw_take(struct news *n, const dw_news *told)
{
    if (told->question || told->as_of <= n->as_of) {
        return false;
    }
    nw_clear_domains(n);
    for (u_int i = 0; i < told->withdrawn.withdrawn_len; i++) {
        char *domain = str_dup(str_bytes(&told->withdrawn.withdrawn_val[i]));

        nw_domain(n, domain, true, told->as_of);
        free(domain);
    }
    nw_config(n,
        str_make(told->config.dw_value_val, told->config.dw_value_len),
        told->as_of);
    nw_seen(n, told->as_of);
    return true;
}
