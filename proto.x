/*
 * Messages between dunlinweird processes.  Each travels as one ONC RPC call
 * without a reply (batching, RFC 5531 section 8); the procedure number is the
 * message's type.  A module that needs an answer gets it as a message of its
 * own and sends again until it comes.
 */
const DW_MAX_TASKS = 450;
const DW_MAX_BYTES = 262144;
const DW_MAX_ITEMS = 65536;

typedef opaque dw_bytes<DW_MAX_BYTES>;
typedef opaque dw_value<4194304>;

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
    DW_RELAYED = 28
};

/* What a submission's answer says. */
enum dw_astate {
    DW_A_COMPLETE = 0,
    DW_A_FAILED = 1,
    DW_A_NOT_RUN = 2,
    DW_A_UNKNOWN = 3,
    DW_A_MISMATCH = 4,
    DW_A_MOVED = 5,
    DW_A_RUNNING = 6
};

/* What is known of one task. */
enum dw_tstate {
    DW_T_WAITING = 0,
    DW_T_OFFERED = 1,
    DW_T_QUEUED = 2,
    DW_T_RUNNING = 3,
    DW_T_DONE = 4,
    DW_T_ERROR = 5,
    DW_T_NOT_STARTED = 6,
    DW_T_UNKNOWN = 7,
    DW_T_STOPPED = 8
};

struct dw_task {
    unsigned int index;
    dw_bytes kind;
    dw_bytes payload;
    unsigned int millicores;
    unsigned int memory_mb;
    unsigned int run_ms;
};

struct dw_outcome {
    unsigned int index;
    dw_tstate state;
    unsigned int code;
    unsigned int ran_ms;
    dw_bytes body;
};

struct dw_submit {
    unsigned hyper request;
    unsigned int partition;
    dw_bytes customer;
    dw_bytes key;
    unsigned hyper body_hash;
    unsigned int age_ms;
    unsigned int deadline_ms;
    unsigned int width;
    unsigned int refuse_ms;
    bool lookup;
    bool poll;
    dw_bytes reason;
    dw_task tasks<DW_MAX_TASKS>;
};

struct dw_answer {
    unsigned hyper request;
    unsigned int partition;
    dw_astate state;
    unsigned int retry_ms;
    bool refund;
    dw_bytes reason;
    dw_outcome tasks<DW_MAX_TASKS>;
};

struct dw_load {
    unsigned int slots;
    unsigned int busy;
    unsigned int queued;
    unsigned int millicores;
    unsigned int memory_mb;
    unsigned int free_millicores;
    unsigned int free_memory_mb;
    unsigned int error_permille;
    bool serving;
};

/* A host's load as the sender last heard it. */
struct dw_hint {
    unsigned hyper id;
    unsigned int used;
    unsigned int age_ms;
};

typedef dw_hint dw_hints<8>;

struct dw_offer_item {
    unsigned int attempt;
    dw_task task;
};

struct dw_offer {
    unsigned int partition;
    unsigned hyper epoch;
    dw_bytes customer;
    dw_bytes key;
    unsigned int count;
    unsigned int deadline_ms;
    dw_hints hints;
    dw_offer_item items<DW_MAX_TASKS>;
};

struct dw_mark {
    unsigned int index;
    unsigned int attempt;
    dw_tstate state;
};

struct dw_offered {
    unsigned int partition;
    unsigned hyper epoch;
    dw_bytes customer;
    dw_bytes key;
    dw_load load;
    dw_hints hints;
    dw_mark marks<DW_MAX_TASKS>;
};

struct dw_result {
    unsigned int partition;
    dw_bytes customer;
    dw_bytes key;
    dw_load load;
    dw_hints hints;
    unsigned hyper refs<DW_MAX_TASKS>;
    dw_outcome tasks<DW_MAX_TASKS>;
};

struct dw_result_ack {
    unsigned hyper refs<DW_MAX_ITEMS>;
};

struct dw_revoke {
    unsigned int partition;
    unsigned hyper epoch;
    dw_bytes customer;
    dw_bytes key;
    bool stop;
    dw_mark marks<DW_MAX_TASKS>;
};

struct dw_fence {
    unsigned int nonce;
    unsigned hyper epoch;
    unsigned int partitions<DW_MAX_ITEMS>;
};

struct dw_record {
    unsigned int partition;
    dw_bytes customer;
    dw_bytes key;
    unsigned int count;
    unsigned int age_ms;
    dw_mark marks<DW_MAX_TASKS>;
};

struct dw_records {
    unsigned int nonce;
    bool last;
    unsigned int chunk;
    dw_record records<DW_MAX_ITEMS>;
};

struct dw_job_task {
    dw_task task;
    dw_outcome outcome;
    unsigned int attempt;
    unsigned hyper host;
};

struct dw_job {
    dw_bytes customer;
    dw_bytes key;
    unsigned hyper body_hash;
    unsigned hyper admit_request;
    unsigned int age_ms;
    unsigned int deadline_ms;
    unsigned int width;
    dw_astate state;
    bool refused;
    bool kept;
    bool cancelled;
    dw_bytes reason;
    dw_job_task tasks<DW_MAX_TASKS>;
    dw_outcome answer<DW_MAX_TASKS>;
};

struct dw_handover {
    unsigned int partition;
    unsigned hyper epoch;
    unsigned int chunk;
    bool last;
    unsigned int unsure_ms;
    dw_job jobs<DW_MAX_ITEMS>;
};

struct dw_handed {
    unsigned int partition;
    unsigned hyper epoch;
    unsigned int chunk;
    bool last;
};

struct dw_kv {
    dw_bytes key;
    dw_value value;
    unsigned hyper mod;
    bool deleted;
};

struct dw_pull {
    unsigned hyper asked_ms;
    unsigned hyper rev;
    bool mesh;
};

struct dw_state {
    unsigned hyper asked_ms;
    unsigned hyper rev;
    unsigned int age_ms;
    bool confirmed;
    bool reader;
    bool store_down;
    bool whole;
    unsigned hyper majority_rev;
    dw_kv kvs<DW_MAX_ITEMS>;
};

enum dw_alive {
    DW_M_ALIVE = 0,
    DW_M_SUSPECT = 1,
    DW_M_DEAD = 2
};

struct dw_update {
    unsigned hyper id;
    unsigned int round;
    dw_alive state;
    unsigned hyper rev;
    dw_load load;
};

struct dw_ping {
    unsigned int seq;
    unsigned hyper target;
    unsigned hyper origin;
    dw_update updates<32>;
};

/*
 * A part of a contract's limits.  rate is in thousandths of a start per
 * second, level in thousandths of a start.
 */
struct dw_share {
    unsigned hyper rate;
    unsigned hyper burst;
    unsigned hyper level;
    unsigned hyper running;
    unsigned hyper pending;
};

struct dw_borrow {
    dw_bytes customer;
    unsigned int seq;
    dw_share held;
    dw_share want;
    unsigned hyper given_level;
};

struct dw_lent {
    dw_bytes customer;
    unsigned int seq;
    dw_share grant;
    unsigned int valid_ms;
    bool rebuilding;
    bool exhausted;
    bool scarce;
};

struct dw_cancel {
    unsigned hyper request;
    unsigned int partition;
    dw_bytes customer;
    dw_bytes key;
};

/* A new home asks its predecessor what is on loan. */
struct dw_ledger_ask {
    dw_bytes customer;
};

struct dw_loan {
    unsigned hyper borrower;
    unsigned int seq;
    dw_share share;
    unsigned int left_ms;
    bool expired;
};

struct dw_ledger {
    dw_bytes customer;
    unsigned hyper level;
    dw_loan loans<DW_MAX_ITEMS>;
};

/*
 * What every message of a session begins with.  clock_ms is the sender's
 * clock and echo_ms the receiver's as the sender last heard it; seq numbers
 * the messages that must arrive, 0 is a heartbeat; ack is the last one taken.
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
    unsigned int index;
    unsigned hyper run;
    unsigned int millicores;
    unsigned int memory_mb;
    unsigned int gpus;
    unsigned int est_ms;
    unsigned int wait_ms;
};

/* Runs of one job; the specification is the same for all its tasks. */
struct dw_run_group {
    unsigned hyper job;
    unsigned int priority;
    dw_bytes spec;
    dw_run runs<DW_MAX_ITEMS>;
};

struct dw_run_ref {
    unsigned hyper job;
    unsigned int index;
    unsigned hyper run;
};

/*
 * What an entry could not place for want of room: millicores of tasks that can
 * still meet their objective, of those that cannot, and of the smallest.  And
 * the ms that it asks to be left between reports on a changed room.
 */
struct dw_want {
    unsigned int urgent;
    unsigned int late;
    unsigned int least;
    unsigned int pause_ms;
};

/* Entry to agent: runs to start and runs to stop. */
struct dw_orders {
    dw_head head;
    dw_want want;
    dw_bytes address;
    unsigned int port;
    dw_run_group groups<DW_MAX_ITEMS>;
    dw_run_ref stops<DW_MAX_ITEMS>;
};

enum dw_end {
    DW_END_DONE = 0,
    DW_END_FAILED = 1,
    DW_END_STOPPED = 2,
    DW_END_LOST = 3,
    DW_END_NOT_RUN = 4,
    DW_END_FULL = 5
};

struct dw_run_end {
    dw_run_ref ref;
    dw_end how;
    unsigned int ran_ms;
};

/* What a worker has to give, as of the message's ack. */
struct dw_room {
    bool serving;
    bool draining;
    unsigned int left_ms;
    unsigned int millicores;
    unsigned int memory_mb;
    unsigned int gpus;
    int free_millicores;
    int free_memory_mb;
    int free_gpus;
    unsigned int waiting;
    unsigned int speed_permille;
    unsigned int pace_permille;
    unsigned int fail_permille; /* of runs that ended there lately */
};

/* Agent to entry: its room, and runs that ended. */
struct dw_report {
    dw_head head;
    bool clean;
    dw_room room;
    dw_run_end ends<DW_MAX_ITEMS>;
};

/*
 * What operators want, between entries, while one of them does not reach the
 * platform's store.  as_of is the store's revision up to which the sender
 * knows all; a question has only that.
 */
struct dw_news {
    bool question;
    unsigned hyper as_of;
    dw_value config;
    dw_bytes withdrawn<64>;
};

/* A caller's request, as it came. */
struct dw_request {
    unsigned hyper ref;
    dw_bytes host;
    dw_bytes path;
    dw_bytes body;
    unsigned int left_ms;
};

/* Entry to entry: requests to begin, and those whose callers have left. */
struct dw_relay {
    dw_head head;
    dw_request requests<DW_MAX_ITEMS>;
    unsigned hyper left<DW_MAX_ITEMS>;
};

enum dw_how {
    DW_HOW_COMPLETED = 0,
    DW_HOW_FAILED = 1,
    DW_HOW_GAVE_UP = 2,
    DW_HOW_NOT_RUN = 3
};

struct dw_reply {
    unsigned hyper ref;
    dw_how how;
    unsigned int retry_ms;
    dw_bytes reason;
};

/*
 * Back: answers, whether more requests are welcome, how busy the entry is, and
 * the version of its configuration.
 */
struct dw_relayed {
    dw_head head;
    bool willing;
    unsigned int busy_permille;
    unsigned hyper config;
    dw_reply replies<DW_MAX_ITEMS>;
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
default: void;
};

/*
 * clock_ms is the sender's clock; echo_ms is the receiver's own clock as the sender last heard it: the
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

struct dw_hello {
    unsigned hyper id;
    unsigned hyper clock_ms;
};
