/* An entry that starts asks the others for the jobs that they have and for
 * those that were cancelled; see catchup.h. */
#include <inttypes.h>

#include "entryd-int.h"
#include "log.h"
#include "proc.h"

/* --- the entry that starts --- */

static void
ask(void *ctx, uint64_t to, uint32_t nonce, bool all)
{
    struct entry *e = ctx;
    const struct view_member *me = &e->s->conf->node.me;
    dw_msg m;

    memset(&m, 0, sizeof(m));
    m.type = DW_JOIN;
    m.dw_msg_u.join.nonce = nonce;
    m.dw_msg_u.join.all = all;
    m.dw_msg_u.join.address = str_to_bytes(str_of(me->addr));
    m.dw_msg_u.join.port = me->port;
    link_send(e->s->link, to, &m);
    xdr_free((xdrproc_t)xdr_dw_msg, &m);
}

static void
log_ready(void *ctx, uint32_t replies, uint32_t asked, uint64_t ms)
{
    (void)ctx;
    log_event(replies == asked ? LOG_LEVEL_INFO : LOG_LEVEL_WARN,
        "caught_up_with_entries", "replies=%u asked=%u ms=%" PRIu64, replies,
        asked, ms);
}

static const struct cu_ops cu_ops = {ask, log_ready};

void
ej_joined(struct entry *e, uint64_t now, uint64_t from, const dw_joined *m)
{
    cl_receive_joined(&e->claims, now, from, m);
    for (u_int i = 0; i < m->tombs.tombs_len; i++) {
        const dw_tomb *tomb = &m->tombs.tombs_val[i];

        ec_end_job(e, tomb->job, tomb->age_ms);
    }
    cu_receive(&e->catchup, now, from, m->nonce);
}

/* --- the other entries --- */

/* The store may list it later. */
static void
note_address(struct entry *e, uint64_t now, uint64_t from, const dw_join *m)
{
    struct sv_peer *p = sv_peer(e->s, from, true);

    if (!p->registered) {
        p->absent_ms = now;
        sv_set_address(p, &m->address, m->port);
    }
}

void
ej_join(struct entry *e, uint64_t now, uint64_t from, const dw_join *m)
{
    dw_msg reply;
    dw_joined *out = &reply.dw_msg_u.joined;

    note_address(e, now, from, m);
    memset(&reply, 0, sizeof(reply));
    reply.type = DW_JOINED;
    out->nonce = m->nonce;
    cl_fill_joined(&e->claims, now, m->all, out);
    if (m->all) {
        co_list_failed(
            &e->coord, now, &out->tombs.tombs_val, &out->tombs.tombs_len);
    }
    log_event(LOG_LEVEL_INFO, "entry_starts",
        "entry=%016" PRIx64 " claims=%u heard=%u tombs=%u", from,
        out->claims.claims_len, out->heard.heard_len, out->tombs.tombs_len);
    link_send(e->s->link, from, &reply);
    xdr_free((xdrproc_t)xdr_dw_msg, &reply);
}

void
ej_open(struct entry *e)
{
    cu_init(&e->catchup, &cu_ops, e, (uint32_t)e->s->id);
}

void
ej_close(struct entry *e)
{
    cu_free(&e->catchup);
}
