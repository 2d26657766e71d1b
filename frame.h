/*
 * frame - encode messages as ONC RPC records
 *
 * A record is a call without a reply: the record mark, an RPC header and a
 * dw_envelope in XDR.  Only HELLO has a reply, which confirms that the
 * connection works in both directions.
 *
 * Source: RFC 5531, section 11 for the record mark.
 */
#ifndef FRAME_H
#define FRAME_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "link.h"
#include "proto.h"

/* Bytes of a record mark. */
#define FRAME_MARK_SIZE 4U
/* Set in the mark of a record's last fragment; each record has only one. */
#define FRAME_LAST 0x80000000U

/* An encoded record in a send queue. */
struct frame {
    struct frame *next;
    uint64_t created_ms; /* on this process's clock, proc_now() */
    size_t echo_offset;  /* of the echoed timestamp in bytes; 0 in a HELLO */
    size_t size;         /* of the record in bytes, mark included */
    size_t written;      /* bytes already sent */
    char bytes[];
};

/* True if a message may be sent as a datagram: its content is sent again soon,
 * so that a loss does no harm. */
bool frame_may_be_datagram(dw_mtype type);
/* Encode msg; free(3) the result.  now is the sender's clock in ms.  NULL if
 * it cannot be encoded or is longer than LINK_RECORD_MAX_BYTES. */
struct frame *frame_message(
    uint64_t from, uint64_t to, uint64_t now, uint32_t xid, const dw_msg *msg);
/* Encode a HELLO call; free(3) the result. */
struct frame *frame_hello(uint64_t now, uint32_t xid);
/* Encode the reply to the HELLO call xid into out, of capacity cap, which
 * needs about 80 bytes.  Returns the size of the record. */
size_t frame_hello_reply(
    uint64_t self, uint64_t now, uint32_t xid, char *out, size_t cap);

#endif
