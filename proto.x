/*
 * Messages between dunlinweird processes.  Each message is one ONC RPC call
 * without a reply (batching, RFC 5531 section 8); the procedure number is the
 * message's type.  An answer is a message of its own; a module that needs one
 * resends its request until the answer arrives.
 *
 * Fields named ..._ms are in ms.  An age_ms is the time that has passed and a
 * left_ms, deadline_ms or valid_ms the time that remains, at the time of
 * sending, so that no two clocks are compared.
 */
const DW_MAX_TASKS = 450;    /* tasks of a job */
const DW_MAX_BYTES = 262144; /* bytes of a string */
const DW_MAX_ITEMS = 65536;  /* elements of a list */

typedef opaque dw_bytes<DW_MAX_BYTES>;
typedef opaque dw_value<4194304>;

/* Type of a message and its RPC procedure number. */
enum dw_mtype {
    DW_HELLO = 1,
    DW_SUBMIT = 2,
    DW_ANSWER = 3,
    DW_OFFER = 4,
    DW_OFFERED = 5,
    DW_RESULT = 6,
    DW_RESULT_ACK = 7,
    DW_REVOKE = 8,
    DW_REVOKED = 9,
    DW_FENCE = 10,
    DW_RECORDS = 11,
    DW_HANDOVER = 12,
    DW_HANDED = 13,
    DW_PULL = 14,
    DW_STATE = 15,
    DW_PING = 16,
    DW_PING_ACK = 17,
    DW_PING_REQ = 18,
    DW_BORROW = 19,
    DW_LENT = 20,
    DW_CANCEL = 21,
    DW_LEDGER_ASK = 22,
    DW_LEDGER = 23,
    DW_ORDERS = 24,
    DW_REPORT = 25,
    DW_NEWS = 26,
    DW_RELAY = 27,
    DW_RELAYED = 28,
    DW_DEMAND = 29,
    DW_SUPPLY = 30,
    DW_WAITS = 31,
    DW_RESERVE = 32,
    DW_RESERVED = 33,
    DW_CLAIMS = 34,
    DW_MOVED = 35,
    DW_OPEN = 36,
    DW_TOMBS = 37,
    DW_TOMBS_ACK = 38,
    DW_JOIN = 39,
    DW_JOINED = 40,
    DW_WITHDRAWN = 41
};

/* State of a submission, in an answer. */
enum dw_astate {
    DW_A_COMPLETE = 0, /* all tasks are done; their results are included */
    DW_A_FAILED = 1,   /* ended without a complete result */
    DW_A_NOT_RUN = 2,  /* no task was started */
    DW_A_UNKNOWN = 3,  /* not known whether a task was started */
    DW_A_MISMATCH = 4, /* the key was used with another body */
    DW_A_MOVED = 5,    /* the sender does not serve the partition now */
    DW_A_RUNNING = 6
};

/* State of one task. */
enum dw_tstate {
    DW_T_WAITING = 0, /* at the owner, not offered to a host */
    DW_T_OFFERED = 1, /* offered to a host that has not replied */
    DW_T_QUEUED = 2,  /* accepted by a host, not started */
    DW_T_RUNNING = 3,
    DW_T_DONE = 4,
    DW_T_ERROR = 5,
    DW_T_NOT_STARTED = 6,
    DW_T_UNKNOWN = 7, /* not known whether it was started */
    DW_T_STOPPED = 8  /* stopped while running */
};

struct dw_task {
    unsigned int index; /* within the job */
    dw_bytes kind;
    dw_bytes payload;
    unsigned int millicores;
    unsigned int memory_mb;
    unsigned int run_ms; /* declared run time */
};

/* State of a task and, once it has ended, its result. */
struct dw_outcome {
    unsigned int index;
    unsigned int attempt; /* that ended; only in results */
    dw_tstate state;
    unsigned int code;
    unsigned int ran_ms;
    dw_bytes body;
};

/* Entry to owner: a caller's submission, or a query of its state. */
struct dw_submit {
    unsigned hyper request; /* the entry's number; the answer has it too */
    unsigned int partition;
    dw_bytes customer;
    dw_bytes key;
    unsigned hyper body_hash;
    unsigned int age_ms; /* since the entry received the request */
    unsigned int deadline_ms;
    unsigned int width;     /* most tasks outstanding at a time */
    unsigned int refuse_ms; /* shortest time that a refusal stands */
    bool lookup; /* join a known job, but admit none; refuse with reason */
    bool poll;   /* answer with the present state at once */
    dw_bytes reason;
    dw_task tasks<DW_MAX_TASKS>;
};

/* Owner to entry. */
struct dw_answer {
    unsigned hyper request;
    unsigned int partition;
    dw_astate state;
    unsigned int retry_ms; /* until a retry is useful; 0: not said */
    bool refund; /* return what the request was charged to the limits */
    dw_bytes reason;
    dw_outcome tasks<DW_MAX_TASKS>;
};

/* Capacity and use of a host. */
struct dw_load {
    unsigned int slots;
    unsigned int busy;
    unsigned int queued;
    unsigned int millicores;
    unsigned int memory_mb;
    unsigned int free_millicores;
    unsigned int free_memory_mb;
    unsigned int error_permille; /* of recent tasks, that failed */
    bool serving;
};

/* Another host's load as last reported to the sender. */
struct dw_hint {
    unsigned hyper id;
    unsigned int used; /* tasks running or queued */
    unsigned int age_ms;
};

typedef dw_hint dw_hints<8>;

struct dw_offer_item {
    unsigned int attempt;
    dw_task task;
};

/* Owner to host: tasks of one job to run. */
struct dw_offer {
    unsigned int partition;
    unsigned hyper epoch;
    dw_bytes customer;
    dw_bytes key;
    unsigned int count; /* of all tasks of the job */
    unsigned int deadline_ms;
    dw_hints hints;
    dw_offer_item items<DW_MAX_TASKS>;
};

/* State of one attempt to run a task. */
struct dw_mark {
    unsigned int index;
    unsigned int attempt;
    dw_tstate state;
};

/* Host to owner: reply to an offer or a revocation. */
struct dw_offered {
    unsigned int partition;
    unsigned hyper epoch;
    dw_bytes customer;
    dw_bytes key;
    dw_load load;
    dw_hints hints;
    dw_mark marks<DW_MAX_TASKS>;
};

/* Host to owner: tasks that ended. */
struct dw_result {
    unsigned int partition;
    dw_bytes customer;
    dw_bytes key;
    dw_load load;
    dw_hints hints;
    unsigned hyper refs<DW_MAX_TASKS>; /* the host's numbers of the runs */
    dw_outcome tasks<DW_MAX_TASKS>;
};

/* Owner to host: results that the host may drop. */
struct dw_result_ack {
    unsigned hyper refs<DW_MAX_ITEMS>;
};

/* Owner to host: withdraw tasks that have not started. */
struct dw_revoke {
    unsigned int partition;
    unsigned hyper epoch;
    dw_bytes customer;
    dw_bytes key;
    bool stop; /* also stop those that run */
    dw_mark marks<DW_MAX_TASKS>;
};

/*
 * New owner to hosts: accept no offers of an older epoch for these partitions,
 * and send the start records.
 */
struct dw_fence {
    unsigned int nonce; /* the sender's number of this takeover */
    unsigned hyper epoch;
    unsigned int partitions<DW_MAX_ITEMS>;
};

/* A host's start record: tasks of one job that were offered to it. */
struct dw_record {
    unsigned int partition;
    dw_bytes customer;
    dw_bytes key;
    unsigned int count;  /* of all tasks of the job; 0: not known */
    unsigned int age_ms; /* since its last use */
    dw_mark marks<DW_MAX_TASKS>;
};

/* Host to new owner: start records, in numbered chunks. */
struct dw_records {
    unsigned int nonce; /* of the fence message */
    bool last;          /* no chunk follows */
    unsigned int chunk; /* from 0 */
    dw_record records<DW_MAX_ITEMS>;
};

/* A task in a hand-over, with the host that it was last offered to. */
struct dw_job_task {
    dw_task task;
    dw_outcome outcome;
    unsigned int attempt;
    unsigned hyper host;
};

/* A job in a hand-over. */
struct dw_job {
    dw_bytes customer;
    dw_bytes key;
    unsigned hyper body_hash;
    unsigned hyper admit_request; /* request that it was admitted for */
    unsigned int age_ms;          /* since its admission */
    unsigned int deadline_ms; /* once it has ended: until it is forgotten */
    unsigned int width;       /* most tasks outstanding at a time */
    dw_astate state;
    bool refused;
    bool kept; /* the results are still stored */
    bool cancelled;
    dw_bytes reason;
    dw_job_task tasks<DW_MAX_TASKS>;
    dw_outcome answer<DW_MAX_TASKS>;
};

/* Owner to next owner: the jobs of a partition, in numbered chunks. */
struct dw_handover {
    unsigned int partition;
    unsigned hyper epoch; /* the sender's number of this hand-over */
    unsigned int chunk;   /* from 0 */
    bool last;            /* no chunk follows */
    unsigned int unsure_ms; /* start records may be missing for so long */
    dw_job jobs<DW_MAX_ITEMS>;
};

/* Next owner to owner: a chunk has been received. */
struct dw_handed {
    unsigned int partition;
    unsigned hyper epoch;
    unsigned int chunk;
    bool last;
};

/* A key of the store; mod is the revision of its last change. */
struct dw_kv {
    dw_bytes key;
    dw_value value;
    unsigned hyper mod;
    bool deleted;
};

/* Request the changes of the state since a revision. */
struct dw_pull {
    unsigned hyper asked_ms; /* the sender's clock; the reply has it too */
    unsigned hyper rev;      /* that the sender holds */
    bool mesh; /* false: a regular pull within a failure domain */
};

/* The state, or its changes since the revision of a pull. */
struct dw_state {
    unsigned hyper asked_ms; /* of the pull; 0: not a reply */
    unsigned hyper rev;      /* that the sender holds */
    unsigned int age_ms;     /* since the store confirmed it as current */
    bool confirmed;          /* the store has confirmed it at least once */
    bool reader;             /* the sender reads the store itself */
    bool store_down;         /* the sender cannot reach the store */
    bool whole;              /* kvs is the complete state */
    unsigned hyper majority_rev; /* held in a majority of failure domains */
    dw_kv kvs<DW_MAX_ITEMS>;
};

/* State of a process in the membership protocol. */
enum dw_alive {
    DW_M_ALIVE = 0,
    DW_M_SUSPECT = 1,
    DW_M_DEAD = 2
};

/* State of one process, passed on with pings. */
struct dw_update {
    unsigned hyper id;
    unsigned int round; /* its incarnation; the higher one is valid */
    dw_alive state;
    unsigned hyper rev; /* of the state that it holds */
    dw_load load;
};

/* A ping, its acknowledgement, or a request to ping on behalf of another. */
struct dw_ping {
    unsigned int seq;      /* of the probe */
    unsigned hyper target; /* process that is probed */
    unsigned hyper origin; /* process that probes */
    dw_update updates<32>;
};

/*
 * A share of a contract's limits.  rate is in thousandths of a start per
 * second, burst in starts, level (starts available at once) in thousandths of
 * a start, running and pending in tasks.
 */
struct dw_share {
    unsigned hyper rate;
    unsigned hyper burst;
    unsigned hyper level;
    unsigned hyper running;
    unsigned hyper pending;
};

/* Entry to lender: renew the share held and request more. */
struct dw_borrow {
    dw_bytes customer;
    unsigned int seq; /* the reply has it too */
    dw_share held;
    dw_share want;              /* in addition to held */
    unsigned hyper given_level; /* part of the level that is returned */
};

/* Lender to entry. */
struct dw_lent {
    dw_bytes customer;
    unsigned int seq;
    dw_share grant; /* total share now held; its level is what is added */
    unsigned int valid_ms; /* 0: the loan is not renewed */
    bool rebuilding;       /* new lender: grants nothing in addition yet */
    bool exhausted;        /* less was granted than requested */
    bool scarce;           /* a request was cut short recently */
};

/* Entry to owner: cancel a submission. */
struct dw_cancel {
    unsigned hyper request;
    unsigned int partition;
    dw_bytes customer;
    dw_bytes key;
};

/* New lender to previous lender: request the loans of a customer. */
struct dw_ledger_ask {
    dw_bytes customer;
};

/* A share lent to one entry. */
struct dw_loan {
    unsigned hyper borrower;
    unsigned int seq; /* of the borrower's last request */
    dw_share share;
    unsigned int left_ms;
    bool expired; /* only running and pending still count */
};

/* Previous lender to new lender: level not lent, and the loans. */
struct dw_ledger {
    dw_bytes customer;
    unsigned hyper level;
    dw_loan loans<DW_MAX_ITEMS>;
};

/*
 * Header of every message of a session.  clock_ms is the sender's clock and
 * echo_ms the echoed timestamp: the receiver's clock as the sender last
 * received it.  seq numbers the messages that must be delivered; 0 is a
 * heartbeat.  ack is the seq of the last message received in order.
 */
struct dw_head {
    unsigned hyper session;
    unsigned hyper clock_ms;
    unsigned hyper echo_ms;
    unsigned hyper seq;
    unsigned hyper ack;
};

/* One run of a task of a best-effort job. */
struct dw_run {
    unsigned int index; /* of the task in the job */
    unsigned hyper run;
    unsigned int millicores;
    unsigned int memory_mb;
    unsigned int gpus;
    unsigned int est_ms;  /* estimated run time */
    unsigned int wait_ms; /* longest wait for capacity at the agent */
};

/* Runs of one job; the specification is the same for all its tasks. */
struct dw_run_group {
    unsigned hyper job;
    unsigned int priority;
    dw_bytes spec;
    dw_run runs<DW_MAX_ITEMS>;
};

/* Identifies a run. */
struct dw_run_ref {
    unsigned hyper job;
    unsigned int index;
    unsigned hyper run;
};

/*
 * An entry's demand: tasks of a service that it cannot place for lack of free
 * capacity, in millicores.
 */
struct dw_want {
    unsigned int urgent;   /* tasks that can still meet their objective */
    unsigned int late;     /* tasks that cannot */
    unsigned int least;    /* the smallest task */
    unsigned int pause_ms; /* between reports of changed free capacity */
};

/* Entry to agent: runs to start and runs to stop. */
struct dw_orders {
    dw_head head;
    dw_want want;
    dw_bytes address; /* of the entry, with port; may be empty */
    unsigned int port;
    dw_run_group groups<DW_MAX_ITEMS>;
    dw_run_ref stops<DW_MAX_ITEMS>;
};

/* Outcome of a run. */
enum dw_end {
    DW_END_DONE = 0,
    DW_END_FAILED = 1,
    DW_END_STOPPED = 2,
    DW_END_LOST = 3,    /* it may have run; its outcome is not known */
    DW_END_NOT_RUN = 4, /* it was not started */
    DW_END_FULL = 5     /* not started for lack of capacity */
};

/* A run that ended, with its outcome. */
struct dw_run_end {
    dw_run_ref ref;
    dw_end how;
    unsigned int ran_ms;
};

/*
 * Capacity of a worker.  The free capacity includes the effect of all orders up
 * to the message's ack and is negative if more was ordered than it has.
 * free_millicores is the share that is reserved for the receiving entry.
 */
struct dw_room {
    bool serving;
    bool draining;
    unsigned int left_ms; /* until it exits; UINT32_MAX: not planned */
    unsigned int millicores;
    unsigned int memory_mb;
    unsigned int gpus;
    int free_millicores;
    int free_memory_mb;
    int free_gpus;
    unsigned int waiting;        /* runs queued at the agent */
    unsigned int speed_permille; /* estimated over actual run time, usual */
    unsigned int pace_permille;  /* the same, recent */
    unsigned int fail_permille;  /* of recently ended runs, that failed */
};

/* Agent to entry: its worker's capacity, and runs that ended. */
struct dw_report {
    dw_head head;
    bool clean; /* no run of an earlier session is left on the worker */
    dw_room room;
    dw_run_end ends<DW_MAX_ITEMS>;
};

/*
 * Operator state (configuration and withdrawals), exchanged between entries
 * while one of them cannot reach the platform's store.  as_of is the store's
 * revision up to which the sender's state is complete; a request (question is
 * true) has only as_of.
 */
struct dw_news {
    bool question;
    unsigned hyper as_of;
    dw_value config;
    dw_bytes withdrawn<64>;
};

/* A caller's HTTP request, unchanged. */
struct dw_request {
    unsigned hyper ref; /* the origin entry's number; the reply has it too */
    dw_bytes host;
    dw_bytes path;
    dw_bytes body;
    unsigned int left_ms;
};

/*
 * Origin entry to peer entry: forwarded requests to start, and the refs of
 * those whose callers have disconnected.
 */
struct dw_relay {
    dw_head head;
    dw_request requests<DW_MAX_ITEMS>;
    unsigned hyper left<DW_MAX_ITEMS>;
};

/* Outcome of a forwarded request. */
enum dw_how {
    DW_HOW_COMPLETED = 0,
    DW_HOW_FAILED = 1,
    DW_HOW_GAVE_UP = 2, /* its time ran out; parts of it may have run */
    DW_HOW_NOT_RUN = 3
};

/* Answer to a forwarded request. */
struct dw_reply {
    unsigned hyper ref;
    dw_how how;
    unsigned int retry_ms;
    dw_bytes reason;
};

/*
 * Peer entry to origin entry: answers, and the peer's state.
 */
struct dw_relayed {
    dw_head head;
    bool willing;               /* it accepts more requests */
    unsigned int busy_permille; /* utilization of its processor */
    unsigned hyper config;      /* version of its configuration */
    dw_reply replies<DW_MAX_ITEMS>;
};

/*
 * Unplaced work of one urgency and priority.  The urgency is that of the
 * job's objective, as a bucket of the time that is left; see demand.h.
 */
struct dw_backlog {
    unsigned int urgency;
    unsigned int priority;
    unsigned int work;       /* millicores x s */
    unsigned int millicores; /* of the tasks */
};

/*
 * Entry to agent: the entry's unplaced work divided by the number of agents
 * that it is reported to, so that sums over agents count it once.  Ignored
 * unless it is newer than the last one of the session.
 */
struct dw_demand {
    unsigned hyper session;
    unsigned int seq;    /* rises within the session */
    unsigned int held;   /* millicores of the entry's dispatched tasks, divided
                          * likewise */
    unsigned int agents; /* that it is reported to */
    dw_backlog rows<64>;
};

/* Agent to entry: sums over all other entries, and its worker's cores. */
struct dw_supply {
    unsigned hyper session;
    unsigned int seq;     /* rises within the session */
    unsigned int age_ms;  /* of the oldest report in the sums */
    unsigned int entries; /* that reported demand */
    unsigned int waiting; /* of these, that have unplaced work */
    unsigned int held;    /* sum of dw_demand.held */
    unsigned int free_millicores;
    unsigned int soon_millicores; /* expected to come free within 100 ms */
    dw_backlog rows<64>;
};

/* Predicted wait of a job that arrives now at the sender. */
struct dw_wait {
    dw_bytes service;
    unsigned int priority;
    unsigned int wait_ms;
};

/* Peer entry to origin entry: predicted waits. */
struct dw_waits {
    unsigned hyper session;
    unsigned int seq; /* rises within the session */
    dw_wait rows<64>;
};

/*
 * Entry to agent that it keeps no orders at: a request to reserve cores for
 * tasks, or to extend or return a reservation.
 */
struct dw_reserve {
    unsigned hyper session;
    unsigned int seq;        /* rises within the session */
    unsigned int millicores; /* wanted; 0: return what is reserved */
    unsigned int least;      /* the smallest task, millicores */
    unsigned int urgency;    /* of the most urgent task */
    unsigned int hold_ms;    /* longest time that the request may wait */
};

/* Agent to entry: cores reserved for it. */
struct dw_reserved {
    unsigned hyper session;
    unsigned int seq;        /* of the request */
    unsigned int millicores; /* reserved; 0: none */
    unsigned int valid_ms;   /* from receipt of the request's answer */
};

/* What an entry has of a job that it claims; if several apply, the highest. */
enum dw_claim_kind {
    DW_CLAIM_ENDS = 0,  /* runs of a job that it has given up */
    DW_CLAIM_WAITS = 1, /* a request that waits for another entry's runs */
    DW_CLAIM_RUNS = 2   /* the job is in progress */
};

/* age_ms is that of the request; for DW_CLAIM_ENDS, since the job ended. */
struct dw_claim {
    unsigned hyper job;
    unsigned int age_ms;
    dw_claim_kind kind;
};

/*
 * Entry to all entries: jobs that it has, and those of earlier messages that
 * it has no longer.  Ignored unless it is newer than the sender's last one.
 */
struct dw_claims {
    unsigned hyper seq; /* rises while the sender lives */
    dw_claim claims<48>;
    unsigned hyper over<16>;
};

/* Entry to one that claims a job: the job's caller has come to the sender. */
struct dw_moved {
    unsigned hyper job;
    unsigned int age_ms; /* of the request */
};

/*
 * From agent to entry, right before a report: runs of the session of which a
 * start may still be executed, by a worker that restarts.  Not sent if there
 * are none.
 */
struct dw_open {
    unsigned hyper session;
    unsigned hyper clock_ms; /* as in the report that follows */
    dw_run_ref runs<DW_MAX_ITEMS>;
};

/* A job that was cancelled or has failed: no task of it may start again. */
struct dw_tomb {
    unsigned hyper job;
    unsigned int age_ms; /* since the job ended */
};

/*
 * Entry to another entry: jobs that ended at the sender, which numbers them;
 * the first one here is number `first`.  The receiver needs none up to `base`.
 */
struct dw_tombs {
    unsigned hyper first;
    unsigned hyper base;
    dw_tomb tombs<48>;
};

/* Reply: the receiver has all up to `last`.  stopped: those of the message
 * that were in progress at the receiver. */
struct dw_tombs_ack {
    unsigned hyper last;
    unsigned hyper stopped<48>;
};

/* Entry that has just started to another one: send all that you know. */
struct dw_join {
    unsigned int nonce; /* the reply has it too */
    bool all;           /* also what the receiver heard of others */
    dw_bytes address;   /* of the sender, with port */
    unsigned int port;
};

/* A claim of another entry, which may have died since. */
struct dw_heard {
    unsigned hyper entry;
    dw_claim claim;
    unsigned int silent_ms; /* since it was heard last */
};

/* Reply: the sender's claims, as in DW_CLAIMS; if all was requested, those of
 * other entries and the jobs that are known to be cancelled or failed. */
struct dw_joined {
    unsigned int nonce;
    unsigned hyper seq;
    dw_claim claims<DW_MAX_ITEMS>;
    dw_heard heard<DW_MAX_ITEMS>;
    dw_tomb tombs<DW_MAX_ITEMS>;
};

/*
 * Entry to an agent of one of its sessions: whether the operators have
 * withdrawn the agent's failure domain, as of a revision of the platform's
 * store.
 */
struct dw_withdrawn {
    unsigned hyper as_of;
    unsigned int age_ms; /* since the store confirmed it to the sender */
    bool withdrawn;
};

union dw_msg switch (dw_mtype type) {
case DW_SUBMIT: dw_submit submit;
case DW_ANSWER: dw_answer answer;
case DW_OFFER: dw_offer offer;
case DW_OFFERED: dw_offered offered;
case DW_RESULT: dw_result result;
case DW_RESULT_ACK: dw_result_ack result_ack;
case DW_REVOKE: dw_revoke revoke;
case DW_REVOKED: dw_offered revoked;
case DW_FENCE: dw_fence fence;
case DW_RECORDS: dw_records records;
case DW_HANDOVER: dw_handover handover;
case DW_HANDED: dw_handed handed;
case DW_PULL: dw_pull pull;
case DW_STATE: dw_state state;
case DW_PING: dw_ping ping;
case DW_PING_ACK: dw_ping ping_ack;
case DW_PING_REQ: dw_ping ping_req;
case DW_BORROW: dw_borrow borrow;
case DW_LENT: dw_lent lent;
case DW_CANCEL: dw_cancel cancel;
case DW_LEDGER_ASK: dw_ledger_ask ledger_ask;
case DW_LEDGER: dw_ledger ledger;
case DW_ORDERS: dw_orders orders;
case DW_REPORT: dw_report report;
case DW_NEWS: dw_news news;
case DW_RELAY: dw_relay relay;
case DW_RELAYED: dw_relayed relayed;
case DW_DEMAND: dw_demand demand;
case DW_SUPPLY: dw_supply supply;
case DW_WAITS: dw_waits waits;
case DW_RESERVE: dw_reserve reserve;
case DW_RESERVED: dw_reserved reserved;
case DW_CLAIMS: dw_claims claims;
case DW_MOVED: dw_moved moved;
case DW_OPEN: dw_open open;
case DW_TOMBS: dw_tombs tombs;
case DW_TOMBS_ACK: dw_tombs_ack tombs_ack;
case DW_JOIN: dw_join join;
case DW_JOINED: dw_joined joined;
case DW_WITHDRAWN: dw_withdrawn withdrawn;
default: void;
};

/*
 * A message with its sender and receiver.  clock_ms is the sender's clock.
 * echo_ms is the receiver's own clock as the sender last received it: the
 * receiver subtracts it from its clock and so bounds the time in transit
 * without comparing two clocks.
 */
struct dw_envelope {
    unsigned hyper from;
    unsigned hyper to;
    unsigned hyper clock_ms;
    unsigned hyper echo_ms;
    dw_msg msg;
};

/* Reply to the DW_HELLO call: the process's id and clock. */
struct dw_hello {
    unsigned hyper id;
    unsigned hyper clock_ms;
};
