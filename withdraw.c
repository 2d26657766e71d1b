#include "withdraw.h"

#include "num.h"

void
wd_init(struct wd_state *s, uint64_t now)
{
    *s = (struct wd_state){.confirmed_ms = now};
}

bool
wd_update(struct wd_state *s, uint64_t now, uint64_t rev, uint64_t age_ms,
    bool withdrawn)
{
    uint64_t confirmed_ms = num_sub_sat(now, age_ms);
    bool changed;

    if (rev < s->rev) {
        return false;
    }
    changed = withdrawn != s->withdrawn;
    s->confirmed_ms =
        s->rev == 0 ? confirmed_ms : num_max(s->confirmed_ms, confirmed_ms);
    s->rev = rev;
    s->withdrawn = withdrawn;
    return changed;
}

bool
wd_read_due(struct wd_state *s, uint64_t now)
{
    if (now - s->confirmed_ms < WD_STALE_MS || now - s->read_ms < WD_READ_MS) {
        return false;
    }
    s->read_ms = now;
    s->reads++;
    return true;
}

bool
wd_tell_due(struct wd_told *t, uint64_t now, uint64_t session, bool withdrawn,
    uint64_t confirmed_ms)
{
    bool is_new = session != t->session || withdrawn != t->withdrawn;
    bool due =
        confirmed_ms > t->confirmed_ms && now - t->told_ms >= WD_TELL_MS;

    if (!is_new && !due) {
        return false;
    }
    *t = (struct wd_told){session, withdrawn, now, confirmed_ms};
    return true;
}
