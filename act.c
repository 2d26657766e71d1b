#include "act.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void
acts_init(struct acts *as)
{
    as->head = NULL;
    as->tail = &as->head;
}

struct act *
acts_take(struct acts *as)
{
    struct act *a = as->head;

    if (a == NULL) {
        return NULL;
    }
    as->head = a->next;
    if (as->head == NULL) {
        as->tail = &as->head;
    }
    a->next = NULL;
    return a;
}

void
acts_clear(struct acts *as)
{
    struct act *a;

    while ((a = acts_take(as)) != NULL) {
        act_free(a);
    }
}

void
act_free(struct act *a)
{
    msg_free(a->msg);
    txn_free(a->txn);
    free(a->customer);
    free(a->key);
    free(a->text);
    free(a);
}

static struct act *
append(struct acts *as, enum act_kind kind)
{
    struct act *a = dw_zero(1, sizeof(*a));

    a->kind = kind;
    *as->tail = a;
    as->tail = &a->next;
    return a;
}

dw_msg *
act_send(struct acts *as, uint64_t to, dw_mtype type)
{
    struct act *a = append(as, ACT_SEND);

    a->to = to;
    a->msg = dw_zero(1, sizeof(*a->msg));
    a->msg->type = type;
    return a->msg;
}

void
act_answer(struct acts *as, uint64_t request, dw_answer *answer)
{
    struct act *a = append(as, ACT_ANSWER);

    a->ref = request;
    a->msg = dw_zero(1, sizeof(*a->msg));
    a->msg->type = DW_ANSWER;
    a->msg->dw_msg_u.answer = *answer;
    memset(answer, 0, sizeof(*answer));
}

void
act_ref(struct acts *as, enum act_kind kind, uint64_t ref)
{
    append(as, kind)->ref = ref;
}

struct txn *
act_txn(struct acts *as, uint64_t ref)
{
    struct act *a = append(as, ACT_TXN);

    a->ref = ref;
    a->txn = txn_new();
    return a->txn;
}

void
act_submission_event(
    struct acts *as, struct str customer, struct str key, const char *fmt, ...)
{
    struct act *a = append(as, ACT_EVENT);
    struct buf b = {0};
    char line[256];
    va_list ap;

    va_start(ap, fmt);
    vsnprintf(line, sizeof(line), fmt, ap);
    va_end(ap);
    buf_add(&b, str_of(line));
    a->customer = str_dup(customer);
    a->key = str_dup(key);
    a->text = b.p;
}

void
act_event(struct acts *as, const char *fmt, ...)
{
    struct act *a = append(as, ACT_EVENT);
    char line[256];
    va_list ap;

    va_start(ap, fmt);
    vsnprintf(line, sizeof(line), fmt, ap);
    va_end(ap);
    a->customer = str_dup(STR(""));
    a->key = str_dup(STR(""));
    a->text = str_dup(str_of(line));
}

struct txn *
txn_new(void)
{
    return dw_zero(1, sizeof(struct txn));
}

void
txn_free(struct txn *t)
{
    if (t == NULL) {
        return;
    }
    for (size_t i = 0; i < t->cmp_count; i++) {
        free(t->cmps[i].key);
    }
    for (size_t i = 0; i < t->put_count; i++) {
        free(t->puts[i].key);
        free(t->puts[i].value);
    }
    free(t->cmps);
    free(t->puts);
    free(t);
}

void
txn_compare(struct txn *t, const char *key, uint64_t mod)
{
    size_t n = t->cmp_count++;

    t->cmps = dw_grow(t->cmps, t->cmp_count * sizeof(*t->cmps));
    t->cmps[n].key = str_dup(str_of(key));
    t->cmps[n].mod = mod;
}

void
txn_put(struct txn *t, const char *key, const char *value)
{
    size_t n = t->put_count++;

    t->puts = dw_grow(t->puts, t->put_count * sizeof(*t->puts));
    t->puts[n].key = str_dup(str_of(key));
    t->puts[n].value = value != NULL ? str_dup(str_of(value)) : NULL;
}

void
msg_free(dw_msg *m)
{
    if (m == NULL) {
        return;
    }
    xdr_free((xdrproc_t)xdr_dw_msg, m);
    free(m);
}

size_t
msg_size(const dw_msg *m)
{
    return xdr_sizeof((xdrproc_t)xdr_dw_msg, (void *)m);
}

dw_msg *
msg_clone(const dw_msg *m)
{
    size_t n = msg_size(m);
    char *bytes = dw_alloc(n);
    dw_msg *copy = dw_zero(1, sizeof(*copy));
    XDR x;
    bool ok;

    xdrmem_create(&x, bytes, (u_int)n, XDR_ENCODE);
    ok = xdr_dw_msg(&x, (dw_msg *)m);
    xdr_destroy(&x);
    if (ok) {
        xdrmem_create(&x, bytes, (u_int)n, XDR_DECODE);
        ok = xdr_dw_msg(&x, copy);
        xdr_destroy(&x);
    }
    free(bytes);
    if (!ok) {
        msg_free(copy);
        return NULL;
    }
    return copy;
}
