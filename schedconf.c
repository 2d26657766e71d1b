#include "schedconf.h"

#include <stddef.h>

const char *const sc_demand_names[] = {"own", "fleet", NULL};
const char *const sc_admission_names[] = {"queue", "arrival", NULL};
const char *const sc_shares_names[] = {"none", "routes", NULL};
const char *const sc_balance_names[] = {"none", "wait", NULL};
const char *const sc_reach_names[] = {"selected", "reserve", "lease", NULL};
const char *const sc_moves_names[] = {"pace", "distribution", NULL};
const char *const sc_placement_names[] = {"score", "finish", "fit", NULL};
