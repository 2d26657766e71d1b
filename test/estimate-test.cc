/* Run times learned from the declared times, the measured times and the
 * deadlines of a route's jobs. */
#include <gtest/gtest.h>

#include <cmath>
#include <functional>
#include <random>
#include <string>

#include "estimate.h"

namespace {

const es_objective objective = {1600, 60};

/* Jobs of a route, with run times distributed around 200 ms. */
struct Jobs {
    es_table table = {};
    es_model *m = es_model_of(&table, "r");
    std::mt19937_64 rng{7};
    double declared = 1;       /* factor on the true run time */
    double declared_sigma = 0; /* of its logarithm */
    std::function<double(double)> timeout = [](double) { return 5000; };

    ~Jobs()
    {
        es_free(&table);
    }
    double
    normal()
    {
        return std::normal_distribution<double>(0, 1)(rng);
    }
    es_input
    draw(double *run)
    {
        *run = 200 * exp(0.4 * normal());
        return {(uint32_t)(*run * declared * exp(declared_sigma * normal())),
            (uint32_t)timeout(*run)};
    }
    void
    learn(int n)
    {
        for (int i = 0; i < n; i++) {
            double run;
            es_input input = draw(&run);

            es_learn(&table, m, &input, (uint32_t)run);
        }
    }
    /* Mean of |ln(estimate / true run time)| over new jobs. */
    double
    error()
    {
        double sum = 0;

        for (int i = 0; i < 400; i++) {
            double run;
            es_input input = draw(&run);

            sum +=
                fabs(log(es_estimate_job(m, &objective, &input).run_ms / run));
        }
        return sum / 400;
    }
};

double
timeout_by_work(double run)
{
    return 1500 + 3 * (1.6 * run + 60);
}

} // namespace

TEST(Estimate, WithoutSamplesTheDeclaredTimeIsUsed)
{
    Jobs j;
    es_input input = {100, 900};
    es_estimate e = es_estimate_job(j.m, &objective, &input);
    es_estimate unknown = es_estimate_job(nullptr, &objective, &input);

    EXPECT_EQ(e.run_ms, 100u);
    EXPECT_EQ(e.objective_ms, 220u);
    EXPECT_EQ(e.useful_ms, 900u);
    EXPECT_EQ(unknown.run_ms, 100u);
}

/* The method that should be used, and a bound for its error. */
static const struct {
    const char *what;
    double declared;
    double declared_sigma;
    std::function<double(double)> timeout;
    es_method expected;
    double error_below;
} cases[] = {
    {"declared right", 1, 0.05, [](double) { return 5000.0; }, ES_DECLARED,
        0.06},
    {"declared twice as long", 2, 0.1, [](double) { return 5000.0; },
        ES_FROM_DECLARED, 0.12},
    {"declared at random, deadlines by work", 1, 0.5, timeout_by_work,
        ES_FROM_DEADLINE, 0.05},
    {"declared at random, equal deadlines", 1, 0.5,
        [](double) { return 5000.0; }, ES_FROM_DECLARED, 0.32},
};

TEST(Estimate, TheMethodWithTheLeastErrorIsUsed)
{
    for (auto &c : cases) {
        Jobs j;

        j.declared = c.declared;
        j.declared_sigma = c.declared_sigma;
        j.timeout = c.timeout;
        j.learn(200);
        if (c.expected != ES_DECLARED) {
            EXPECT_EQ(es_best_method(j.m), c.expected) << c.what;
        }
        EXPECT_LT(j.error(), c.error_below) << c.what;
    }
}

/* Callers no longer set deadlines by their work: within some dozens of jobs
 * the deadline must no longer be used. */
TEST(Estimate, AMethodThatStopsWorkingIsAbandoned)
{
    Jobs j;

    j.declared_sigma = 0.3;
    j.timeout = timeout_by_work;
    j.learn(200);
    ASSERT_EQ(es_best_method(j.m), ES_FROM_DEADLINE);
    j.timeout = [](double) { return 900.0; };
    j.learn(100);
    EXPECT_NE(es_best_method(j.m), ES_FROM_DEADLINE);
    EXPECT_LT(j.error(), 0.3);
}

/* After a power failure the requests of several seconds arrive at once, new
 * ones together with those sent again.  The objective of a request that was
 * sent again has passed, however the route's callers set their deadlines. */
TEST(Estimate, TheObjectiveOfARequestSentAgainHasPassed)
{
    const std::function<double(double)> timeouts[] = {
        timeout_by_work, [](double) { return 5000.0; }};

    for (auto &timeout : timeouts) {
        Jobs j;
        es_input first = {200, (uint32_t)timeout(200)};
        es_input repeated = {200, first.remaining_ms - 1300};

        j.declared_sigma = 0.3;
        j.timeout = timeout;
        j.learn(200);
        EXPECT_GT(es_estimate_job(j.m, &objective, &first).objective_ms, 250u);
        EXPECT_EQ(
            es_estimate_job(j.m, &objective, &repeated).objective_ms, 0u);
        EXPECT_NEAR(
            es_estimate_job(j.m, &objective, &repeated).run_ms, 200, 60);
    }
}

/* A short job that was declared far too long has a short deadline; it must not
 * be mistaken for a request sent again. */
TEST(Estimate, AShortJobWithAShortDeadlineIsNotARepeat)
{
    Jobs j;
    int late = 0;

    j.declared_sigma = 0.4;
    j.timeout = timeout_by_work;
    j.learn(200);
    for (int i = 0; i < 1000; i++) {
        double run;
        es_input input = j.draw(&run);

        late += es_estimate_job(j.m, &objective, &input).objective_ms < run;
    }
    EXPECT_LT(late, 10);
}

TEST(Estimate, OutliersDoNotAffectTheLines)
{
    Jobs j;

    j.declared = 2;
    j.declared_sigma = 0.1;
    for (int i = 0; i < 100; i++) {
        es_input outlier = {300, 5000};

        j.learn(4);
        es_learn(&j.table, j.m, &outlier, 9000); /* one job in five */
    }
    EXPECT_LT(j.error(), 0.15);
}

TEST(Estimate, SavedModelsAreLoadedByAnotherProcess)
{
    Jobs before;
    Jobs after;
    buf text = {};

    before.declared = 2;
    before.declared_sigma = 0.1;
    before.learn(100);
    es_save(&before.table, &text);
    after.declared = 2;
    after.declared_sigma = 0.1;
    EXPECT_TRUE(es_load(&after.table, buf_str(&text)));
    EXPECT_EQ(es_best_method(after.m), ES_FROM_DECLARED);
    EXPECT_LT(after.error(), 0.12);
    buf_free(&text);
}

static const char *const malformed[] = {
    "2 100 1 1 1 1 1 1 1 0.1 0.1 0.1 r\n",
    "1 100 1 1 1 1 1 1 0.1 0.1 0.1 r\n",
    "1 100 nan 1 1 1 1 1 1 0.1 0.1 0.1 r\n",
    "1 100 1 1 1 1 1 1 1 0.1 -0.1 0.1 r\n",
    "\x01\x02",
};

TEST(Estimate, MalformedModelsAreIgnored)
{
    for (auto &text : malformed) {
        Jobs j;
        es_input input = {100, 900};

        EXPECT_FALSE(es_load(&j.table, str_of(text))) << text;
        EXPECT_EQ(es_estimate_job(j.m, &objective, &input).run_ms, 100u)
            << text;
    }
}

/* Models are saved soon, so that an early power failure loses little, then at
 * growing intervals, to limit the load on the store. */
TEST(Estimate, SaveIntervalsGrow)
{
    Jobs j;
    int saves = 0;

    for (uint64_t now = 1000; now < 61000; now += 20) {
        j.learn(1);
        saves += es_save_due(&j.table, now);
    }
    EXPECT_GE(saves, 3);
    EXPECT_LE(saves, 6);
    EXPECT_TRUE(es_save_due(&j.table, 1000000));
    EXPECT_FALSE(es_save_due(&j.table, 2000000)) << "nothing learned since";
}
