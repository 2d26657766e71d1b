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
#include "schedconf.h"
#include "shed.h"

#ifdef __cplusplus
extern "C" {
#endif

#define CONF_TEXT_MAX 256

/*
 * Section [platform]: the job platform that the process is part of.  If
 * store_url is empty the process runs standalone and the section is unused.
 */
struct conf_platform {
    char store_url[CONF_TEXT_MAX]; /* the platform's key-value store */
    /* Entry: ADDRESS:PORT that it listens on for callers. */
    char callers_listen[CONF_TEXT_MAX];
    /* Entry: ADDRESS:PORT that it listens on for readiness probes. */
    char readiness_listen[CONF_TEXT_MAX];
    /* Agent: ADDRESS:PORT that it listens on for its worker. */
    char announce_listen[CONF_TEXT_MAX];
    /* Agent: ADDRESS:PORT of its worker. */
    char worker_endpoint[CONF_TEXT_MAX];
    char service[CONF_TEXT_MAX]; /* agent: name of the worker's service */
    /* ADDRESS:PORT that it serves metrics on; empty: none. */
    char metrics_listen[CONF_TEXT_MAX];
    uint32_t grace_ms;         /* from SIGTERM until SIGKILL */
    uint32_t caller_resend_ms; /* until callers resend to another entry */
};

/* All settings of a daemon. */
struct conf {
    char store_url[CONF_TEXT_MAX];
    uint32_t store_timeout_ms; /* per request to the store */
    /* Bearer token of operators' requests; empty: all are rejected. */
    char operator_token[CONF_TEXT_MAX];
    uint32_t audit_entries_max; /* beyond it, the oldest are deleted */
    /* Backend server; empty: it announces itself. */
    char backend_url[CONF_TEXT_MAX];
    char worker_url[CONF_TEXT_MAX]; /* empty: no usage reports */
    char log_file[CONF_TEXT_MAX];
    uint32_t log_level;               /* LOG_LEVEL_... */
    uint32_t backend_connections_max; /* concurrent, to the backend server */
    uint32_t task_lease_ms;       /* lease of a running task on its worker */
    uint32_t announce_timeout_ms; /* lifetime of an announcement */
    struct sd_limits callers;     /* of the server for callers */
    struct sd_limits ports; /* of each server for readiness checks, metrics
                               and announcements */
    uint32_t tasks_max;     /* of all jobs that an entry coordinates */
    uint32_t runs_max;      /* that an agent has at a time */
    struct sd_limits link;  /* of connections of other processes */
    uint32_t default_deadline_ms; /* of a job that names no deadline */
    uint32_t leave_max_ms;        /* longest duration of a planned stop */
    uint32_t trail_events_max;    /* submission events kept for explain */
    struct node_cfg node;
    struct conf_platform platform;
    struct sc_settings sched; /* section [scheduling], for an entry */
};

enum conf_status {
    CONF_OK,
    CONF_BAD_FILE,   /* cannot be read */
    CONF_BAD_SYNTAX, /* not TOML */
    CONF_BAD_VALUE   /* a key is unknown or missing, or its value is invalid */
};

/* A network address and port. */
struct conf_endpoint {
    char addr[CONF_TEXT_MAX]; /* numeric IPv4 */
    uint16_t port;
};

/* Parse ADDRESS:PORT, numeric IPv4; false if text is malformed. */
bool conf_endpoint(struct conf_endpoint *at, const char *text);
/*
 * Read and check the file at path.  Settings that it leaves out get their
 * defaults.  On failure e has the message and c is incomplete.
 */
enum conf_status conf_read(struct conf *c, const char *path, struct err *e);

/* --- TOML parser; toml.cc --- */

enum toml_kind { TOML_TEXT, TOML_NUMBER, TOML_REAL, TOML_BOOL, TOML_OTHER };

/* One key and its value; kind says which of the last fields is set. */
struct toml_value {
    const char *key; /* "section.name" */
    unsigned line;   /* in the file, from 1 */
    enum toml_kind kind;
    const char *text; /* TOML_TEXT */
    int64_t number;   /* TOML_NUMBER; TOML_BOOL: 0 or 1 */
    double real;      /* TOML_REAL */
};

/* Called for each value; any status but CONF_OK stops parsing. */
typedef enum conf_status (*toml_fn)(
    void *ctx, const struct toml_value *v, struct err *e);
/* Parse a file and call fn for each of its values.  Returns the status that
 * fn stopped with, or CONF_BAD_FILE or CONF_BAD_SYNTAX. */
enum conf_status toml_each(
    const char *path, toml_fn fn, void *ctx, struct err *e);

#ifdef __cplusplus
}
#endif

#endif
