/*
 * conf - settings of a daemon, from a TOML file
 *
 * Each error names the file, the line, the key and what is allowed.
 */
#ifndef CONF_H
#define CONF_H

#include <stdbool.h>
#include <stdint.h>

#include "err.h"
#include "log.h"
#include "node.h"

#ifdef __cplusplus
extern "C" {
#endif

#define CONF_TEXT_MAX 256

/* Where the users' platform is met; store is empty without one. */
struct conf_platform {
    char store[CONF_TEXT_MAX];     /* URL */
    char callers[CONF_TEXT_MAX];   /* entry: ADDRESS:PORT */
    char readiness[CONF_TEXT_MAX]; /* entry: ADDRESS:PORT */
    char announce[CONF_TEXT_MAX];  /* agent: its worker reports there */
    char worker[CONF_TEXT_MAX];    /* agent: ADDRESS:PORT of its worker */
    char service[CONF_TEXT_MAX];   /* agent: what its worker runs */
    char metrics[CONF_TEXT_MAX];   /* ADDRESS:PORT; empty: none */
    uint32_t grace_ms;             /* from SIGTERM until SIGKILL */
    uint32_t resend_ms;            /* until callers try elsewhere */
};

struct conf {
    char store_url[CONF_TEXT_MAX];
    uint32_t store_timeout_ms;
    char operator_token[CONF_TEXT_MAX];
    uint32_t audit_kept;             /* audit entries; the oldest give way */
    char backend_url[CONF_TEXT_MAX]; /* empty: it announces itself */
    char worker_url[CONF_TEXT_MAX];  /* empty: no usage reports */
    char log_file[CONF_TEXT_MAX];
    uint32_t log_level;
    uint32_t connections; /* to the backend server at once */
    uint32_t lease_ms;    /* of a running task on its worker */
    uint32_t announce_ms; /* an announcement lapses after */
    uint32_t body_max;
    uint32_t callers_max;
    uint32_t idle_s;
    uint32_t default_deadline_ms;
    uint32_t leave_max_ms; /* a planned stop takes no longer */
    uint32_t trail_max;    /* notes kept for explain */
    struct node_cfg node;
    struct conf_platform platform;
};

enum conf_status { CONF_OK, CONF_BAD_FILE, CONF_BAD_SYNTAX, CONF_BAD_VALUE };

struct conf_endpoint {
    char addr[CONF_TEXT_MAX];
    uint16_t port;
};

/* Split ADDRESS:PORT; false if text is anything else. */
bool conf_endpoint(struct conf_endpoint *at, const char *text);
/* Read a file into c, which gets defaults first. */
enum conf_status conf_read(struct conf *c, const char *path, struct err *e);

/* --- the reader of the format; toml.cc --- */

enum toml_kind { TOML_TEXT, TOML_NUMBER, TOML_REAL, TOML_BOOL, TOML_OTHER };

struct toml_value {
    const char *key; /* "section.name" */
    unsigned line;
    enum toml_kind kind;
    const char *text;
    int64_t number;
    double real;
};

/* Called for each value; not CONF_OK ends the reading. */
typedef enum conf_status (*toml_fn)(
    void *ctx, const struct toml_value *v, struct err *e);
enum conf_status toml_each(
    const char *path, toml_fn fn, void *ctx, struct err *e);

#ifdef __cplusplus
}
#endif

#endif
