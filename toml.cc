/* The only C++ outside test/: Debian has no C library for TOML. */
#include "conf.h"

#include <string>
#include <toml++/toml.h>

static enum conf_status
each_value(const toml::table &table, const std::string &prefix, toml_fn fn,
    void *ctx, struct err *e)
{
    for (auto &&[k, node] : table) {
        std::string key = prefix.empty() ? std::string(k.str())
                                         : prefix + "." + std::string(k.str());
        std::string text;
        struct toml_value v = {};
        enum conf_status st;

        if (node.is_table()) {
            st = each_value(*node.as_table(), key, fn, ctx, e);
            if (st != CONF_OK) {
                return st;
            }
            continue;
        }
        v.key = key.c_str();
        v.line = node.source().begin.line;
        v.kind = TOML_OTHER;
        if (auto s = node.value_exact<std::string>()) {
            text = *s;
            v.kind = TOML_TEXT;
            v.text = text.c_str();
        }
        else if (auto n = node.value_exact<int64_t>()) {
            v.kind = TOML_NUMBER;
            v.number = *n;
        }
        else if (auto d = node.value_exact<double>()) {
            v.kind = TOML_REAL;
            v.real = *d;
        }
        else if (auto b = node.value_exact<bool>()) {
            v.kind = TOML_BOOL;
            v.number = *b ? 1 : 0;
        }
        st = fn(ctx, &v, e);
        if (st != CONF_OK) {
            return st;
        }
    }
    return CONF_OK;
}

extern "C" enum conf_status
toml_each(const char *path, toml_fn fn, void *ctx, struct err *e)
{
    try {
        toml::table table = toml::parse_file(path);

        return each_value(table, "", fn, ctx, e);
    } catch (const toml::parse_error &x) {
        unsigned line = x.source().begin.line;

        if (line == 0) {
            err_set(e, "%s: %s", path, std::string(x.description()).c_str());
            return CONF_BAD_FILE;
        }
        err_set(
            e, "%s:%u: %s", path, line, std::string(x.description()).c_str());
        return CONF_BAD_SYNTAX;
    }
}
