/*
 * frame - messages as ONC RPC records, ready to be written
 *
 * A record is a call without a reply: its mark, an RPC header and an envelope
 * in XDR.  Only a hello has a reply, which proves the connection.
 *
 * Source: RFC 5531, section 11 for the mark.
 */
#ifndef FRAME_H
#define FRAME_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "link.h"
#include "proto.h"

/* Set in the mark of a record's last fragment; each record is one. */
#define FRAME_LAST 0x80000000U

struct frame {
    struct frame *next;
    uint64_t made_ms;
    size_t echo_at; /* where the stamp goes; 0 in a HELLO */
    size_t n;
    size_t done;
    char bytes[];
};

/* May go by datagram, as what it says is told again soon. */
bool frame_may_be_datagram(dw_mtype type);
/* NULL if it is too large; else free(3) it. */
struct frame *frame_message(
    uint64_t from, uint64_t to, uint64_t now, uint32_t xid, const dw_msg *msg);
struct frame *frame_hello(uint64_t now, uint32_t xid);
/* Bytes written to out, which wants some 80. */
size_t frame_hello_reply(
    uint64_t self, uint64_t now, uint32_t xid, char *out, size_t cap);

#endif
