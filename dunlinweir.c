/* Command line for operators and callers; see dunlinweir(1). */
#include <curl/curl.h>
#include <inttypes.h>
#include <jansson.h>
#include <popt.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>
#include <time.h>
#include <unistd.h>

#include "conf.h"
#include "explain.h"
#include "contract.h"
#include "str.h"

#define URL_MAX 512

enum cli_exit { CLI_OK = 0, CLI_FAILED = 1, CLI_USAGE = 2 };

/* Command-line options; NULL or 0 if not given. */
struct args {
    char *entry; /* base URL of the HTTP interface */
    char *token;
    char *operator;      /* name for the audit trail */
    char *change_reason; /* for the audit trail */
    char *key;           /* idempotency key */
    char *processes;     /* "ADDRESS:PORT,..." of metrics interfaces */
    char *revision;      /* change only if the stored revision is this */
    int json;
    int wait;
    int override;
    int limit; /* audit entries shown */
    int deadline_ms;
};

struct reply {
    long status;
    struct buf body;
    char error[CURL_ERROR_SIZE];
};

static struct args args;

/* --- HTTP --- */

static size_t
on_body(char *p, size_t size, size_t n, void *ctx)
{
    buf_add(ctx, str_make(p, size * n));
    return size * n;
}

static struct curl_slist *
add_header(struct curl_slist *list, const char *name, const char *value)
{
    struct buf b = {0};

    if (value == NULL) {
        return list;
    }
    buf_addf(&b, "%s: %s", name, value);
    list = curl_slist_append(list, b.p);
    buf_free(&b);
    return list;
}

/* Returns false if no response was received, with the reason in r->error.
 * The caller frees r->body. */
static bool
call(const char *method, const char *base, const char *path, struct str body,
    struct reply *r)
{
    CURL *c = curl_easy_init();
    struct curl_slist *headers = NULL;
    struct buf url = {0};
    struct buf auth = {0};
    CURLcode code;

    memset(r, 0, sizeof(*r));
    buf_addf(&url, "%s%s", base, path);
    buf_addf(&auth, "Bearer %s", args.token != NULL ? args.token : "");
    headers = add_header(headers, "Authorization", auth.p);
    headers = add_header(headers, "Dunlinweir-Who", args.operator);
    headers = add_header(headers, "Dunlinweir-Why", args.change_reason);
    headers = add_header(headers, "If-Match", args.revision);
    headers = add_header(headers, "Idempotency-Key", args.key);
    headers = curl_slist_append(headers, "Expect:");
    curl_easy_setopt(c, CURLOPT_URL, url.p);
    curl_easy_setopt(c, CURLOPT_CUSTOMREQUEST, method);
    curl_easy_setopt(c, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(c, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(c, CURLOPT_WRITEFUNCTION, on_body);
    curl_easy_setopt(c, CURLOPT_WRITEDATA, &r->body);
    curl_easy_setopt(c, CURLOPT_ERRORBUFFER, r->error);
    curl_easy_setopt(c, CURLOPT_CONNECTTIMEOUT_MS, 3000L);
    if (strcmp(method, "GET") != 0) {
        curl_easy_setopt(c, CURLOPT_POSTFIELDS, body.p);
        curl_easy_setopt(c, CURLOPT_POSTFIELDSIZE, (long)body.n);
    }
    code = curl_easy_perform(c);
    curl_easy_getinfo(c, CURLINFO_RESPONSE_CODE, &r->status);
    curl_slist_free_all(headers);
    curl_easy_cleanup(c);
    buf_free(&url);
    buf_free(&auth);
    return code == CURLE_OK;
}

/* --- output --- */

static void
print_value(const char *name, const json_t *v)
{
    char *text;

    if (json_is_string(v)) {
        printf("%s=%s", name, json_string_value(v));
        return;
    }
    text = json_dumps(v, JSON_COMPACT | JSON_ENCODE_ANY);
    printf("%s=%s", name, text);
    free(text);
}

/* Prints an object as one line of name=value pairs, and a list or a member
 * that is a list of objects as one line for each object. */
static void
print_plain(const json_t *o)
{
    const char *name;
    json_t *v;
    size_t i;
    bool first = true;

    if (json_is_array(o)) {
        json_array_foreach (o, i, v) {
            print_plain(v);
        }
        return;
    }
    json_object_foreach ((json_t *)o, name, v) {
        if (json_is_array(v) && json_is_object(json_array_get(v, 0))) {
            continue;
        }
        printf("%s", first ? "" : " ");
        print_value(name, v);
        first = false;
    }
    printf("\n");
    json_object_foreach ((json_t *)o, name, v) {
        if (json_is_array(v) && json_is_object(json_array_get(v, 0))) {
            print_plain(v);
        }
    }
}

static void
print_problem(const struct reply *r)
{
    json_t *o =
        json_loadb(r->body.p != NULL ? r->body.p : "", r->body.n, 0, NULL);
    const char *title = json_string_value(json_object_get(o, "title"));
    const char *detail = json_string_value(json_object_get(o, "detail"));

    fprintf(stderr, "dunlinweir: %s: %s (HTTP %ld)\n",
        title != NULL ? title : "error", detail != NULL ? detail : "",
        r->status);
    json_decref(o);
}

static int
print_reply(struct reply *r)
{
    json_t *o = json_loadb(
        r->body.p != NULL ? r->body.p : "", r->body.n, JSON_DECODE_ANY, NULL);
    bool succeeded = r->status >= 200 && r->status < 300;
    char *text;

    if (args.json && o != NULL) {
        text = json_dumps(o, JSON_INDENT(2));
        printf("%s\n", text);
        free(text);
    }
    else if (succeeded && o != NULL) {
        print_plain(o);
    }
    if (!succeeded) {
        print_problem(r);
    }
    json_decref(o);
    buf_free(&r->body);
    return succeeded ? CLI_OK : CLI_FAILED;
}

static int
request_and_print(const char *method, const char *path, struct str body)
{
    struct reply r;

    if (!call(method, args.entry, path, body, &r)) {
        fprintf(stderr, "dunlinweir: %s: %s\n", args.entry, r.error);
        buf_free(&r.body);
        return CLI_FAILED;
    }
    return print_reply(&r);
}

/* --- request bodies --- */

/* Reads a file, or standard input for "-".  Prints a message and returns
 * false if the file cannot be opened. */
static bool
read_file(const char *path, struct buf *b)
{
    bool use_stdin = strcmp(path, "-") == 0;
    FILE *f = use_stdin ? stdin : fopen(path, "re");
    char chunk[4096];
    size_t n;

    if (f == NULL) {
        perror(path);
        return false;
    }
    while ((n = fread(chunk, 1, sizeof(chunk), f)) > 0) {
        buf_add(b, str_make(chunk, n));
    }
    if (!use_stdin) {
        fclose(f);
    }
    return true;
}

static void
make_uuid7(char out[40])
{
    unsigned char b[16];
    struct timespec ts;
    uint64_t ms;

    if (getrandom(b, sizeof(b), 0) != (ssize_t)sizeof(b)) {
        abort();
    }
    clock_gettime(CLOCK_REALTIME, &ts);
    ms = (uint64_t)ts.tv_sec * 1000 + (uint64_t)ts.tv_nsec / 1000000;
    for (int i = 0; i < 6; i++) {
        b[i] = (unsigned char)(ms >> (40 - 8 * i));
    }
    b[6] = (unsigned char)(0x70 | (b[6] & 0x0f));
    b[8] = (unsigned char)(0x80 | (b[8] & 0x3f));
    snprintf(out, 40,
        "%02x%02x%02x%02x-%02x%02x-%02x%02x-%02x%02x-%02x%02x%02x%02x%02x%02x",
        b[0], b[1], b[2], b[3], b[4], b[5], b[6], b[7], b[8], b[9], b[10],
        b[11], b[12], b[13], b[14], b[15]);
}

/* --- commands --- */

typedef int (*command_fn)(const char **words, size_t n);

static void
add_change_query(struct buf *path)
{
    buf_addf(path, "?%s%s", args.wait ? "wait=1&" : "",
        args.override ? "override=1&" : "");
}

static int
contract_list(const char **words, size_t n)
{
    (void)words;
    (void)n;
    return request_and_print("GET", "/v1/contracts", STR(""));
}

static int
request_contract(const char *method, const char *name, struct str body)
{
    struct buf path = {0};
    int code;

    buf_addf(&path, "/v1/contracts/%s", name);
    if (strcmp(method, "GET") != 0) {
        add_change_query(&path);
    }
    code = request_and_print(method, path.p, body);
    buf_free(&path);
    return code;
}

static int
contract_get(const char **words, size_t n)
{
    (void)n;
    return request_contract("GET", words[0], STR(""));
}

static int
contract_delete(const char **words, size_t n)
{
    (void)n;
    return request_contract("DELETE", words[0], STR(""));
}

static int
contract_set(const char **words, size_t n)
{
    struct buf body = {0};
    int code = CLI_USAGE;

    (void)n;
    if (read_file(words[1], &body)) {
        code = request_contract("PUT", words[0], buf_str(&body));
    }
    buf_free(&body);
    return code;
}

static int
contract_hash(const char **words, size_t n)
{
    char hash[CT_HASH_HEX + 1];

    (void)n;
    ct_token_hash(str_of(words[0]), hash);
    printf("%s\n", hash);
    return CLI_OK;
}

static int
domain_list(const char **words, size_t n)
{
    (void)words;
    (void)n;
    return request_and_print("GET", "/v1/domains", STR(""));
}

static int
domain_set(const char *name, bool in_service)
{
    struct buf path = {0};
    int code;

    buf_addf(&path, "/v1/domains/%s", name);
    add_change_query(&path);
    code = request_and_print("PUT", path.p,
        in_service ? STR("{\"in\":true}") : STR("{\"in\":false}"));
    buf_free(&path);
    return code;
}

static int
domain_in(const char **words, size_t n)
{
    (void)n;
    return domain_set(words[0], true);
}

static int
domain_out(const char **words, size_t n)
{
    (void)n;
    return domain_set(words[0], false);
}

static int
status(const char **words, size_t n)
{
    (void)words;
    (void)n;
    return request_and_print("GET", "/v1/status", STR(""));
}

static int
audit(const char **words, size_t n)
{
    struct buf path = {0};
    int code;

    (void)words;
    (void)n;
    buf_addf(&path, "/v1/audit?limit=%d", args.limit);
    code = request_and_print("GET", path.p, STR(""));
    buf_free(&path);
    return code;
}

static int
submit(const char **words, size_t n)
{
    struct buf body = {0};
    char key[40];
    int code = CLI_USAGE;

    (void)n;
    if (args.key == NULL) {
        make_uuid7(key);
        args.key = str_dup(str_of(key));
        fprintf(stderr, "key %s\n", key);
    }
    if (read_file(words[0], &body)) {
        code = request_and_print("POST", "/v1/jobs", buf_str(&body));
    }
    buf_free(&body);
    return code;
}

static int
job_by_key(const char *method, const char *key)
{
    struct buf path = {0};
    int code;

    buf_addf(&path, "/v1/jobs/%s", key);
    code = request_and_print(method, path.p, STR(""));
    buf_free(&path);
    return code;
}

static int
job_get(const char **words, size_t n)
{
    (void)n;
    return job_by_key("GET", words[0]);
}

static int
job_cancel(const char **words, size_t n)
{
    (void)n;
    return job_by_key("DELETE", words[0]);
}

/* An event of a submission, as one process recorded it in its trail. */
struct trail_event {
    json_int_t time_ms;
    char *process;
    char *text;
};

static int
by_event_time(const void *a, const void *b)
{
    const struct trail_event *x = a;
    const struct trail_event *y = b;

    return x->time_ms < y->time_ms ? -1 : x->time_ms > y->time_ms;
}

/* Reads the trail at path from every member and adds to *unanswered the number
 * of processes that did not return one.  Returns the number of events. */
static size_t
fetch_trail(const json_t *members, const char *path,
    struct trail_event **events, size_t *unanswered)
{
    size_t count = 0;
    size_t i;
    json_t *m;

    json_array_foreach (members, i, m) {
        struct reply r;
        struct buf base = {0};
        json_t *list = NULL;
        size_t k;
        json_t *row;

        buf_addf(&base, "http://%s:%d",
            json_string_value(json_object_get(m, "address")),
            (int)json_integer_value(json_object_get(m, "http")));
        if (call("GET", base.p, path, STR(""), &r) && r.status == 200) {
            list = json_loadb(r.body.p, r.body.n, 0, NULL);
        }
        *unanswered += list == NULL;
        json_array_foreach (list, k, row) {
            *events = dw_grow(*events, (count + 1) * sizeof(**events));
            (*events)[count].time_ms =
                json_integer_value(json_object_get(row, "ms"));
            (*events)[count].process =
                str_dup(str_of(json_string_value(json_object_get(m, "name"))));
            (*events)[count].text = str_dup(
                str_of(json_string_value(json_object_get(row, "text"))));
            count++;
        }
        json_decref(list);
        buf_free(&r.body);
        buf_free(&base);
    }
    return count;
}

static void
print_trail(struct trail_event *events, size_t count)
{
    json_t *list = json_array();
    char *text;

    if (count > 0) {
        qsort(events, count, sizeof(*events), by_event_time);
    }
    for (size_t i = 0; i < count; i++) {
        if (args.json) {
            json_array_append_new(list,
                json_pack("{s:I, s:s, s:s}", "ms", events[i].time_ms,
                    "process", events[i].process, "text", events[i].text));
        }
        else {
            printf("%lld %s %s\n", (long long)events[i].time_ms,
                events[i].process, events[i].text);
        }
        free(events[i].process);
        free(events[i].text);
    }
    if (args.json) {
        text = json_dumps(list, JSON_INDENT(2));
        printf("%s\n", text);
        free(text);
    }
    json_decref(list);
}

static int
explain_submission(const char **words, size_t n)
{
    struct reply r;
    struct buf path = {0};
    struct trail_event *events = NULL;
    size_t unanswered = 0;
    size_t count;
    json_t *o;

    (void)n;
    if (!call("GET", args.entry, "/v1/status", STR(""), &r) ||
        r.status != 200) {
        fprintf(stderr, "dunlinweir: %s\n", r.error);
        return print_reply(&r);
    }
    o = json_loadb(r.body.p, r.body.n, 0, NULL);
    buf_free(&r.body);
    buf_addf(&path, "/v1/trail/%s/%s", words[0], words[1]);
    count = fetch_trail(
        json_object_get(o, "members"), path.p, &events, &unanswered);
    print_trail(events, count);
    if (count == 0) {
        fprintf(stderr, "dunlinweir: no records found for this submission\n");
    }
    if (unanswered > 0) {
        fprintf(
            stderr, "dunlinweir: %zu processes did not answer\n", unanswered);
    }
    free(events);
    buf_free(&path);
    json_decref(o);
    return count > 0 ? CLI_OK : CLI_FAILED;
}

/* Writes the log lines about job `id` that the processes listed in
 * args.processes keep in memory.  Returns the number of processes that did not
 * answer. */
static size_t
fetch_lines(const char *id, FILE *out)
{
    char *list = str_dup(str_of(args.processes));
    struct buf path = {0};
    size_t unanswered = 0;
    char *rest = NULL;
    char *address;

    buf_addf(&path, "/lines?job=%s", id);
    for (address = strtok_r(list, ",", &rest); address != NULL;
         address = strtok_r(NULL, ",", &rest)) {
        char url[URL_MAX];
        struct reply r;

        snprintf(url, sizeof(url), "http://%s", address);
        if (!call("GET", url, path.p, STR(""), &r) || r.status != 200) {
            fprintf(stderr, "dunlinweir: no answer from %s\n", address);
            unanswered++;
        }
        else {
            fwrite(r.body.p, 1, r.body.n, out);
        }
        buf_free(&r.body);
    }
    buf_free(&path);
    free(list);
    return unanswered;
}

/* Explains a job on the users' platform from the log lines of all machines on
 * standard input, or from those that the processes keep in memory. */
static int
explain_job(const char **words, size_t n)
{
    FILE *in = args.processes != NULL ? tmpfile() : stdin;
    size_t unanswered = 0;
    size_t count;

    (void)n;
    if (in == NULL) {
        perror("dunlinweir: temporary file");
        return CLI_FAILED;
    }
    if (args.processes != NULL) {
        unanswered = fetch_lines(words[0], in);
        rewind(in);
    }
    count = explain_lines(in, words[0], stdout);
    if (args.processes != NULL) {
        fclose(in);
    }
    if (count == 0) {
        fprintf(stderr, "dunlinweir: no log line has job=%s\n", words[0]);
    }
    return count > 0 && unanswered == 0 ? CLI_OK : CLI_FAILED;
}

static int
check_settings(const char **words, size_t n)
{
    struct conf *c = dw_zero(1, sizeof(*c));
    struct err e = {""};
    enum conf_status st = conf_read(c, words[0], &e);

    (void)n;
    free(c);
    if (st != CONF_OK) {
        fprintf(stderr, "dunlinweir: %s\n", e.msg);
        return CLI_FAILED;
    }
    printf("%s: settings are good\n", words[0]);
    return CLI_OK;
}

static const struct {
    const char *group;
    const char *name; /* NULL: the group is the whole command */
    size_t words;     /* arguments after the command */
    command_fn fn;
    const char *usage;
} commands[] = {
    {"contract", "list", 0, contract_list, ""},
    {"contract", "get", 1, contract_get, "CUSTOMER"},
    {"contract", "set", 2, contract_set, "CUSTOMER FILE"},
    {"contract", "delete", 1, contract_delete, "CUSTOMER"},
    {"contract", "hash", 1, contract_hash, "TOKEN"},
    {"domain", "list", 0, domain_list, ""},
    {"domain", "out", 1, domain_out, "DOMAIN"},
    {"domain", "in", 1, domain_in, "DOMAIN"},
    {"status", NULL, 0, status, ""},
    {"audit", NULL, 0, audit, ""},
    {"explain", NULL, 2, explain_submission, "CUSTOMER KEY"},
    {"explain", NULL, 1, explain_job,
        "ID, with --at or logs on standard input"},
    {"submit", NULL, 1, submit, "FILE"},
    {"get", NULL, 1, job_get, "KEY"},
    {"cancel", NULL, 1, job_cancel, "KEY"},
    {"check", NULL, 1, check_settings, "SETTINGS"},
};

#define COMMAND_COUNT (sizeof(commands) / sizeof(commands[0]))

static int
usage(void)
{
    fprintf(stderr, "usage: dunlinweir [options] command\n");
    for (size_t i = 0; i < COMMAND_COUNT; i++) {
        fprintf(stderr, "  %s%s%s %s\n", commands[i].group,
            commands[i].name != NULL ? " " : "",
            commands[i].name != NULL ? commands[i].name : "",
            commands[i].usage);
    }
    fprintf(stderr, "  --help shows the options\n");
    return CLI_USAGE;
}

static int
run_command(const char **words, size_t n)
{
    for (size_t i = 0; i < COMMAND_COUNT && words[0] != NULL; i++) {
        size_t command_words = commands[i].name != NULL ? 2 : 1;

        if (n == command_words + commands[i].words &&
            strcmp(words[0], commands[i].group) == 0 &&
            (command_words == 1 ||
                (words[1] != NULL &&
                    strcmp(words[1], commands[i].name) == 0))) {
            return commands[i].fn(words + command_words, n - command_words);
        }
    }
    return usage();
}

/* Sets an option that was not given from the environment variable `name`, or
 * to `fallback` if that is not set either. */
static void
set_fallback(char **option, const char *name, const char *fallback)
{
    const char *v = getenv(name);

    if (v == NULL) {
        v = fallback;
    }
    if (*option == NULL && v != NULL) {
        *option = str_dup(str_of(v));
    }
}

int
main(int argc, char **argv)
{
    const struct poptOption options[] = {
        {"entry", 'e', POPT_ARG_STRING, &args.entry, 0,
            "an entry, or the load balancer in front of them; "
            "DUNLINWEIR_ENTRY",
            "URL"},
        {"token", 't', POPT_ARG_STRING, &args.token, 0,
            "token of the operators or of a contract; DUNLINWEIR_TOKEN",
            "TOKEN"},
        {"who", 0, POPT_ARG_STRING, &args.operator, 0,
            "operator's name for the audit trail; USER", "NAME"},
        {"why", 'm', POPT_ARG_STRING, &args.change_reason, 0,
            "reason for the audit trail", "TEXT"},
        {"if-revision", 0, POPT_ARG_STRING, &args.revision, 0,
            "change only if the stored revision (mod) is this", "N"},
        {"key", 'k', POPT_ARG_STRING, &args.key, 0,
            "idempotency key; a new UUIDv7 if not given", "KEY"},
        {"at", 0, POPT_ARG_STRING, &args.processes, 0,
            "for explain ID: metrics addresses of the processes to query",
            "ADDRESS:PORT,..."},
        {"wait", 'w', POPT_ARG_NONE, &args.wait, 0,
            "wait until the change is in force everywhere", NULL},
        {"override", 0, POPT_ARG_NONE, &args.override, 0,
            "write a contract even if its guarantee does not fit", NULL},
        {"limit", 'n', POPT_ARG_INT, &args.limit, 0,
            "number of audit entries shown", "N"},
        {"json", 'j', POPT_ARG_NONE, &args.json, 0, "print JSON", NULL},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext ctx =
        poptGetContext("dunlinweir", argc, (const char **)argv, options, 0);
    const char *words[8] = {NULL};
    size_t n = 0;
    int code;
    int opt;

    args.limit = 50;
    poptSetOtherOptionHelp(ctx, "[options] command");
    opt = poptGetNextOpt(ctx);
    set_fallback(&args.entry, "DUNLINWEIR_ENTRY", "http://127.0.0.1:7100");
    set_fallback(&args.token, "DUNLINWEIR_TOKEN", NULL);
    set_fallback(&args.operator, "USER", "unknown");
    while (n < 7 && poptPeekArg(ctx) != NULL) {
        words[n++] = poptGetArg(ctx);
    }
    if (opt < -1) {
        fprintf(stderr, "dunlinweir: %s: %s\n",
            poptBadOption(ctx, POPT_BADOPTION_NOALIAS), poptStrerror(opt));
        code = CLI_USAGE;
    }
    else {
        curl_global_init(CURL_GLOBAL_DEFAULT);
        code = n > 0 ? run_command(words, n) : usage();
        curl_global_cleanup();
    }
    poptFreeContext(ctx);
    free(args.entry);
    free(args.token);
    free(args.operator);
    free(args.change_reason);
    free(args.key);
    free(args.processes);
    free(args.revision);
    return code;
}
