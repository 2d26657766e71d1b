#include "frame.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "str.h"

bool
frame_may_be_datagram(dw_mtype type)
{
    return type == DW_PING || type == DW_PING_ACK || type == DW_PING_REQ ||
           type == DW_PULL || type == DW_STATE || type == DW_DEMAND ||
           type == DW_SUPPLY || type == DW_CLAIMS || type == DW_MOVED ||
           type == DW_TOMBS || type == DW_TOMBS_ACK || type == DW_WITHDRAWN;
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
put_record_mark(char *at, size_t n)
{
    uint32_t mark = htonl((uint32_t)n | FRAME_LAST);

    memcpy(at, &mark, sizeof(mark));
}

/* Space reserved for the RPC header before the body. */
#define RPC_HEADER_MAX_BYTES 64U

static struct frame *
new_frame(uint64_t now, size_t body)
{
    struct frame *f =
        dw_alloc(sizeof(*f) + FRAME_MARK_SIZE + RPC_HEADER_MAX_BYTES + body);

    f->next = NULL;
    f->created_ms = now;
    f->echo_offset = 0;
    f->written = 0;
    f->size = 0;
    return f;
}

/* Offset of echo_ms in an encoded dw_envelope: it follows from, to and
 * clock_ms, 8 bytes each. */
#define ENVELOPE_ECHO_OFFSET 24U

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
    /* A datagram does not confirm a connection, so a peer must not echo a
     * clock value that it received in one. */
    env.clock_ms = frame_may_be_datagram(msg->type) ? 0 : now;
    env.echo_ms = 0;
    env.msg = *msg;
    f = new_frame(now, xdr_sizeof((xdrproc_t)xdr_dw_envelope, &env));
    xdrmem_create(&x, f->bytes + FRAME_MARK_SIZE,
        (u_int)(RPC_HEADER_MAX_BYTES +
                xdr_sizeof((xdrproc_t)xdr_dw_envelope, &env)),
        XDR_ENCODE);
    ok = encode_call(&x, xid, (uint32_t)msg->type);
    f->echo_offset = FRAME_MARK_SIZE + xdr_getpos(&x) + ENVELOPE_ECHO_OFFSET;
    ok = ok && xdr_dw_envelope(&x, &env);
    f->size = FRAME_MARK_SIZE + xdr_getpos(&x);
    xdr_destroy(&x);
    if (!ok || f->size > LINK_RECORD_MAX_BYTES) {
        free(f);
        return NULL;
    }
    put_record_mark(f->bytes, f->size - FRAME_MARK_SIZE);
    return f;
}

struct frame *
frame_hello(uint64_t now, uint32_t xid)
{
    struct frame *f = new_frame(now, 0);
    XDR x;

    xdrmem_create(
        &x, f->bytes + FRAME_MARK_SIZE, RPC_HEADER_MAX_BYTES, XDR_ENCODE);
    encode_call(&x, xid, DW_HELLO);
    f->size = FRAME_MARK_SIZE + xdr_getpos(&x);
    xdr_destroy(&x);
    put_record_mark(f->bytes, f->size - FRAME_MARK_SIZE);
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
    xdrmem_create(
        &x, out + FRAME_MARK_SIZE, (u_int)(cap - FRAME_MARK_SIZE), XDR_ENCODE);
    xdr_replymsg(&x, &reply);
    n = xdr_getpos(&x);
    xdr_destroy(&x);
    put_record_mark(out, n);
    return n + FRAME_MARK_SIZE;
}
