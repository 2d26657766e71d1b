/* Prediction of the work that arrives while a job waits. */
#include <gtest/gtest.h>

#include "inflow.h"

namespace {

/* 10 units of work per ms with an objective of 200 ms. */
in_flow
steady()
{
    in_flow f = {};

    for (uint64_t now = 0; now <= 20000; now += 10) {
        in_record(&f, now, 200, 100);
    }
    return f;
}

} // namespace

TEST(Inflow, WorkWithAnEarlierObjectiveCounts)
{
    in_flow f = steady();

    EXPECT_NEAR(in_work_before(&f, 20000, 2000, 100), 1000, 50);
    EXPECT_EQ(in_work_before(&f, 20000, 100, 100), 0);
}

/* The job's objective is in 500 ms: work with 200 ms that arrives after the
 * next 300 ms is placed after it. */
TEST(Inflow, WorkCountsOnlyWhileItsObjectiveIsEarlier)
{
    in_flow f = steady();

    EXPECT_NEAR(in_work_before(&f, 20000, 500, 10000), 3000, 400);
}

TEST(Inflow, ArrivalsThatCeaseDecay)
{
    in_flow f = steady();

    EXPECT_NEAR(in_work_before(&f, 21000, 2000, 100), 500, 50);
}
