/* Carries out the actions that the node has decided on. */
#include "daemon.h"
#include "log.h"
#include "proc.h"

/* A pending call to the store. */
struct store_call {
    struct daemon *d;
    uint64_t sent_ms;
    uint64_t ref; /* of the action */
};

static struct store_call *
new_store_call(struct daemon *d, uint64_t ref)
{
    struct store_call *c = dw_zero(1, sizeof(*c));

    c->d = d;
    c->sent_ms = proc_now();
    c->ref = ref;
    return c;
}

static void
on_checked(void *ctx, enum store_status st, uint64_t rev)
{
    struct store_call *c = ctx;
    struct daemon *d = c->d;

    if (st == STORE_OK) {
        node_store_checked(&d->node, proc_now(), c->sent_ms, rev, &d->acts);
    }
    else {
        node_store_read_failed(&d->node);
    }
    free(c);
    carry_out(d);
}

static void
on_read(void *ctx, enum store_status st, const dw_state *all)
{
    struct store_call *c = ctx;
    struct daemon *d = c->d;

    if (st == STORE_OK) {
        node_store_read(&d->node, proc_now(), c->sent_ms, all, &d->acts);
    }
    else {
        node_store_read_failed(&d->node);
    }
    free(c);
    carry_out(d);
}

static void
on_txn(void *ctx, enum store_status st, uint64_t rev)
{
    static const enum txn_status results[] = {
        [STORE_OK] = TXN_OK,
        [STORE_CONFLICT] = TXN_CONFLICT,
        [STORE_UNREACHABLE] = TXN_UNKNOWN,
        [STORE_UNKNOWN] = TXN_UNKNOWN,
    };
    struct store_call *c = ctx;
    struct daemon *d = c->d;

    (void)rev;
    node_txn_done(&d->node, proc_now(), c->ref, results[st], &d->acts);
    free(c);
    carry_out(d);
}

static void
do_send(struct daemon *d, struct act *a)
{
    if (a->to == d->node.self) {
        node_message(&d->node, proc_now(), a->to, a->msg, &d->acts);
        return;
    }
    link_send(d->link, a->to, a->msg);
}

static void
do_start(struct daemon *d, struct act *a)
{
    const struct host_run *r = host_find_run(&d->node.host, a->ref);

    if (r != NULL) {
        backend_run(d->backend, r);
    }
}

static void
do_stop(struct daemon *d, struct act *a)
{
    backend_stop(d->backend, a->ref);
}

static void
do_answer(struct daemon *d, struct act *a)
{
    d->answer(d, a->ref, &a->msg->dw_msg_u.answer);
}

static void
do_txn(struct daemon *d, struct act *a)
{
    d->store->ops->txn(d->store, a->txn, on_txn, new_store_call(d, a->ref));
}

static void
do_read(struct daemon *d, struct act *a)
{
    struct store_call *c = new_store_call(d, a->ref);

    if (a->ref == ACT_READ_CHECK) {
        d->store->ops->check(d->store, on_checked, c);
    }
    else {
        d->store->ops->read(d->store, VIEW_PREFIX, on_read, c);
    }
}

static void
do_event(struct daemon *d, struct act *a)
{
    if (a->customer[0] == '\0') {
        log_event(LOG_LEVEL_INFO, "fleet", "%s", a->text);
        return;
    }
    trail_add(d->trail, proc_wall(), str_of(a->customer), str_of(a->key),
        str_of(a->text));
    log_event(LOG_LEVEL_DEBUG, "note", "customer=%s key=%s text=\"%s\"",
        a->customer, a->key, a->text);
}

static void (*const handlers[])(struct daemon *d, struct act *a) = {
    [ACT_SEND] = do_send,
    [ACT_START] = do_start,
    [ACT_STOP] = do_stop,
    [ACT_ANSWER] = do_answer,
    [ACT_TXN] = do_txn,
    [ACT_READ] = do_read,
    [ACT_EVENT] = do_event,
};

void
carry_out(struct daemon *d)
{
    struct act *a;

    if (d->executing) {
        return;
    }
    d->executing = true;
    while ((a = acts_take(&d->acts)) != NULL) {
        handlers[a->kind](d, a);
        act_free(a);
    }
    d->executing = false;
}
