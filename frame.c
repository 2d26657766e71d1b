#include "frame.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "str.h"

bool
frame_may_be_datagram(dw_mtype type)
{
    return type == DW_PING || type == DW_PING_ACK || type == DW_PING_REQ ||
           type == DW_PULL || type == DW_STATE;
}

static bool
encode_call(XDR *x, uint32_t xid, uint32_t proc)
{
    struct rpc_msg call;

    memset(&call, 0, sizeof(call));
    call.rm_xid = xid;
    call.rm_direction = CALL;
    call.rm_call.cb_rpcvers = RPC_MSG_VERSION;
    call.rm_call.cb_prog = LINK_PROGRAM;
    call.rm_call.cb_vers = LINK_VERSION;
    call.rm_call.cb_proc = proc;
    call.rm_call.cb_cred = _null_auth;
    call.rm_call.cb_verf = _null_auth;
    return xdr_callmsg(x, &call);
}

static void
put_mark(char *at, size_t n)
{
    uint32_t mark = htonl((uint32_t)n | FRAME_LAST);

    memcpy(at, &mark, sizeof(mark));
}

/* Room for an RPC header before the body. */
#define HEADER_MAX 64U

static struct frame *
new_frame(uint64_t now, size_t body)
{
    struct frame *f = dw_alloc(sizeof(*f) + 4 + HEADER_MAX + body);

    f->next = NULL;
    f->made_ms = now;
    f->echo_at = 0;
    f->done = 0;
    f->n = 0;
    return f;
}

/* The echo stamp lies behind from, to and clock_ms. */
#define ECHO_OFFSET 24U

struct frame *
frame_message(
    uint64_t from, uint64_t to, uint64_t now, uint32_t xid, const dw_msg *msg)
{
    dw_envelope env;
    struct frame *f;
    XDR x;
    bool ok;

    env.from = from;
    env.to = to;
    /* What arrives by datagram proves nothing of a connection, so a peer
     * must not echo a clock it has from there. */
    env.clock_ms = frame_may_be_datagram(msg->type) ? 0 : now;
    env.echo_ms = 0;
    env.msg = *msg;
    f = new_frame(now, xdr_sizeof((xdrproc_t)xdr_dw_envelope, &env));
    xdrmem_create(&x, f->bytes + 4,
        (u_int)(HEADER_MAX + xdr_sizeof((xdrproc_t)xdr_dw_envelope, &env)),
        XDR_ENCODE);
    ok = encode_call(&x, xid, (uint32_t)msg->type);
    f->echo_at = 4 + xdr_getpos(&x) + ECHO_OFFSET;
    ok = ok && xdr_dw_envelope(&x, &env);
    f->n = 4 + xdr_getpos(&x);
    xdr_destroy(&x);
    if (!ok || f->n > LINK_RECORD_MAX) {
        free(f);
        return NULL;
    }
    put_mark(f->bytes, f->n - 4);
    return f;
}

struct frame *
frame_hello(uint64_t now, uint32_t xid)
{
    struct frame *f = new_frame(now, 0);
    XDR x;

    xdrmem_create(&x, f->bytes + 4, HEADER_MAX, XDR_ENCODE);
    encode_call(&x, xid, DW_HELLO);
    f->n = 4 + xdr_getpos(&x);
    xdr_destroy(&x);
    put_mark(f->bytes, f->n - 4);
    return f;
}

size_t
frame_hello_reply(
    uint64_t self, uint64_t now, uint32_t xid, char *out, size_t cap)
{
    struct rpc_msg reply;
    dw_hello hello = {self, now};
    size_t n;
    XDR x;

    memset(&reply, 0, sizeof(reply));
    reply.rm_xid = xid;
    reply.rm_direction = REPLY;
    reply.rm_reply.rp_stat = MSG_ACCEPTED;
    reply.acpted_rply.ar_verf = _null_auth;
    reply.acpted_rply.ar_stat = SUCCESS;
    reply.acpted_rply.ar_results.where = (caddr_t)&hello;
    reply.acpted_rply.ar_results.proc = (xdrproc_t)xdr_dw_hello;
    xdrmem_create(&x, out + 4, (u_int)(cap - 4), XDR_ENCODE);
    xdr_replymsg(&x, &reply);
    n = xdr_getpos(&x);
    xdr_destroy(&x);
    put_mark(out, n);
    return n + 4;
}
