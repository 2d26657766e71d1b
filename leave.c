#include "leave.h"

#include "num.h"

void
lv_begin(struct lv_stop *s, uint64_t now, uint64_t max_ms)
{
    s->begun = true;
    s->begun_ms = now;
    s->end_ms = now + max_ms;
}

enum lv_action
lv_next(struct lv_stop *s, uint64_t now, bool done)
{
    if (!s->begun) {
        return LV_WAIT;
    }
    if (done) {
        return LV_EXIT;
    }
    if (!s->gave_up && now + LV_ANSWER_MS >= s->end_ms) {
        s->gave_up = true;
        s->gave_up_ms = now;
        return LV_GIVE_UP;
    }
    return s->gave_up && now >= num_max(s->end_ms, s->gave_up_ms + LV_WRITE_MS)
               ? LV_EXIT
               : LV_WAIT;
}
