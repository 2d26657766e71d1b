/* Starts and stops the processes of an experiment. */
#include "dwload.h"

#include <curl/curl.h>
#include <errno.h>
#include <fcntl.h>
#include <limits.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "contract.h"

#define READY_TRIES 400
#define READY_RETRY_US 25000
#define OPERATORS_TOKEN "operators-secret"

static size_t
on_body(char *p, size_t size, size_t n, void *ctx)
{
    buf_add(ctx, str_make(p, size * n));
    return size * n;
}

long
ld_http_request(const char *method, const char *url, const char *token,
    struct str body, struct buf *out)
{
    CURL *c = curl_easy_init();
    struct curl_slist *headers = curl_slist_append(NULL, "Expect:");
    struct buf auth = {0};
    struct buf sink = {0};
    long status = 0;

    buf_addf(&auth, "Authorization: Bearer %s", token != NULL ? token : "");
    headers = curl_slist_append(headers, auth.p);
    curl_easy_setopt(c, CURLOPT_URL, url);
    curl_easy_setopt(c, CURLOPT_CUSTOMREQUEST, method);
    curl_easy_setopt(c, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(c, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(c, CURLOPT_WRITEFUNCTION, on_body);
    curl_easy_setopt(c, CURLOPT_WRITEDATA, out != NULL ? out : &sink);
    curl_easy_setopt(c, CURLOPT_TIMEOUT_MS, 20000L);
    if (strcmp(method, "GET") != 0) {
        curl_easy_setopt(c, CURLOPT_POSTFIELDS, body.p);
        curl_easy_setopt(c, CURLOPT_POSTFIELDSIZE, (long)body.n);
    }
    if (curl_easy_perform(c) == CURLE_OK) {
        curl_easy_getinfo(c, CURLINFO_RESPONSE_CODE, &status);
    }
    curl_slist_free_all(headers);
    curl_easy_cleanup(c);
    buf_free(&auth);
    buf_free(&sink);
    return status;
}

struct ld_proc *
ld_fleet_find(struct ld_fleet *f, const char *name)
{
    for (size_t i = 0; i < f->count; i++) {
        if (strcmp(f->procs[i].name, name) == 0) {
            return &f->procs[i];
        }
    }
    return NULL;
}

int
ld_fleet_spawn(struct ld_fleet *f, struct ld_proc *p)
{
    char log[192];
    int fd;

    snprintf(log, sizeof(log), "%s/%s.log", f->dir, p->name);
    p->pid = fork();
    if (p->pid < 0) {
        return -1;
    }
    if (p->pid == 0) {
        fd = open(log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        if (fd >= 0) {
            dup2(fd, STDOUT_FILENO);
            dup2(fd, STDERR_FILENO);
        }
        /* The HTTP client's sockets would stay open in the child, which hides
         * their close from the daemons at their other end. */
        close_range(STDERR_FILENO + 1, ~0U, CLOSE_RANGE_CLOEXEC);
        execv(p->argv[0], p->argv);
        _exit(127);
    }
    return 0;
}

static struct ld_proc *
add_proc(
    struct ld_fleet *f, const char *name, uint32_t http_port, uint32_t domain)
{
    struct ld_proc *p = &f->procs[f->count++];

    str_copy(p->name, sizeof(p->name), str_of(name));
    p->http_port = http_port;
    p->domain = domain;
    return p;
}

static char *
format_number(uint32_t n)
{
    struct buf b = {0};

    buf_addf(&b, "%u", n);
    return b.p;
}

static void
add_daemon(struct ld_fleet *f, const char *role, const char *name, uint32_t i,
    uint32_t port, uint32_t http_port)
{
    struct ld_proc *p = add_proc(f, name, http_port, i);
    struct buf path = {0};
    FILE *out;

    buf_addf(&path, "%s/%s.toml", f->dir, name);
    out = fopen(path.p, "we");
    if (out == NULL) {
        perror(path.p);
        exit(1);
    }
    fprintf(out,
        "[process]\nrole = \"%s\"\nname = \"%s\"\ndomain = \"%s\"\n"
        "rack = \"rack%u\"\naddress = \"127.0.0.1\"\nport = %u\n"
        "http_port = %u\n[store]\nurl = \"http://127.0.0.1:%u\"\n"
        "[operators]\ntoken = \"" OPERATORS_TOKEN
        "\"\n[worker]\nslots = %u\n%s",
        role, name, ld_domain_name(i), i / 3 + 1, port, http_port,
        f->x->base_port, f->x->slots, f->x->extra);
    fclose(out);
    p->argv[0] = str_dup(STR("build/dunlinweird"));
    p->argv[1] = str_dup(STR("-f"));
    p->argv[2] = path.p;
}

static void
add_backend(struct ld_fleet *f, uint32_t i)
{
    uint32_t port = f->x->base_port + 500 + i;
    char name[LD_NAME_MAX];
    struct ld_proc *p;

    snprintf(name, sizeof(name), "b%u", i + 1);
    p = add_proc(f, name, port, i);
    p->argv[0] = str_dup(STR("build/fake-backend"));
    p->argv[1] = format_number(port);
    p->argv[2] = format_number(f->x->base_port + 400 + i);
    p->argv[3] = format_number(f->x->slots);
}

static bool
wait_until_ready(uint32_t port, const char *path)
{
    char url[96];

    snprintf(url, sizeof(url), "http://127.0.0.1:%u%s", port, path);
    for (int i = 0; i < READY_TRIES; i++) {
        if (ld_http_request("GET", url, NULL, STR(""), NULL) == 200) {
            return true;
        }
        usleep(READY_RETRY_US);
    }
    return false;
}

static void
list_procs(struct ld_fleet *f)
{
    const struct ld_experiment *x = f->x;
    struct ld_proc *store = add_proc(f, "store", x->base_port, 0);
    char name[LD_NAME_MAX];

    store->argv[0] = str_dup(STR("build/fake-store"));
    store->argv[1] = format_number(x->base_port);
    for (uint32_t i = 0; i < x->agents; i++) {
        snprintf(name, sizeof(name), "a%u", i + 1);
        add_daemon(f, "agent", name, i, x->base_port + 300 + i,
            x->base_port + 400 + i);
        add_backend(f, i);
    }
    for (uint32_t i = 0; i < x->entries; i++) {
        snprintf(name, sizeof(name), "e%u", i + 1);
        add_daemon(f, "entry", name, i, x->base_port + 100 + i,
            x->base_port + 200 + i);
    }
}

static bool
write_contract(struct ld_fleet *f, uint32_t i)
{
    const struct ld_experiment *x = f->x;
    struct contract c = {0};
    struct buf body = {0};
    char url[128];
    char token[32];
    long status;

    snprintf(token, sizeof(token), "customer-token-%u", i);
    snprintf(c.customer, sizeof(c.customer), "customer%u", i);
    ct_token_hash(str_of(token), c.token_sha256);
    c.rate = 100000;
    c.burst = 100000;
    c.running = 100000;
    c.queued = 1000000;
    c.max_tasks = DW_MAX_TASKS;
    c.max_runtime_ms = 600000;
    c.weight = 1;
    c.max_millicores = 64000;
    c.max_memory_mb = 131072;
    ct_format(&c, &body);
    snprintf(url, sizeof(url), "http://127.0.0.1:%u/v1/contracts/%s?wait=1",
        x->base_port + 200, c.customer);
    status =
        ld_http_request("PUT", url, OPERATORS_TOKEN, buf_str(&body), NULL);
    buf_free(&body);
    return status == 200;
}

int
ld_fleet_start(struct ld_fleet *f, const struct ld_experiment *x,
    const char *dir, struct err *e)
{
    memset(f, 0, sizeof(*f));
    f->x = x;
    str_copy(f->dir, sizeof(f->dir), str_of(dir));
    list_procs(f);
    for (size_t i = 0; i < f->count; i++) {
        if (ld_fleet_spawn(f, &f->procs[i]) != 0) {
            err_set(e, "%s: %s", f->procs[i].name, strerror(errno));
            return -1;
        }
        if (i == 0 && !wait_until_ready(f->procs[0].http_port, "/control")) {
            err_set(e, "the stand-in store did not become ready");
            return -1;
        }
    }
    for (size_t i = 1; i < f->count; i++) {
        const char *path = f->procs[i].name[0] == 'b' ? "/control" : "/readyz";

        if (!wait_until_ready(f->procs[i].http_port, path)) {
            err_set(e, "%s is not ready; see %s/%s.log", f->procs[i].name, dir,
                f->procs[i].name);
            return -1;
        }
    }
    for (uint32_t i = 0; i < x->customers; i++) {
        if (!write_contract(f, i)) {
            err_set(e, "contract %u was not accepted", i);
            return -1;
        }
    }
    return 0;
}

void
ld_fleet_stop(struct ld_fleet *f)
{
    for (size_t i = 0; i < f->count; i++) {
        struct ld_proc *p = &f->procs[i];

        if (p->pid > 0) {
            kill(p->pid, SIGKILL);
            waitpid(p->pid, NULL, 0);
        }
        for (size_t k = 0; p->argv[k] != NULL; k++) {
            free(p->argv[k]);
        }
    }
    f->count = 0;
}
