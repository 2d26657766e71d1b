/* Log lines on standard output, recent log lines, and histograms. */
#include <gtest/gtest.h>

#include <fcntl.h>
#include <string>
#include <unistd.h>
#include <vector>

#include "hist.h"
#include "log.h"

namespace {

/* Redirects standard output to a pipe during its lifetime. */
struct PipedStdout {
    int ends[2];
    int saved;

    PipedStdout()
    {
        fflush(stdout);
        saved = dup(STDOUT_FILENO);
        EXPECT_EQ(pipe(ends), 0);
        dup2(ends[1], STDOUT_FILENO);
    }
    ~PipedStdout()
    {
        dup2(saved, STDOUT_FILENO);
        close(ends[0]);
        close(ends[1]);
        close(saved);
    }
    std::string
    read_some()
    {
        std::string text(65536, '\0');
        ssize_t n = read(ends[0], &text[0], text.size());

        return n > 0 ? text.substr(0, (size_t)n) : "";
    }
};

/* log4c can be initialised only once per process. */
class Log : public testing::Test {
  protected:
    static void
    SetUpTestSuite()
    {
        err e = {""};

        ASSERT_EQ(log_open("-", LOG_LEVEL_INFO, &e), LOG_OK) << e.msg;
    }
    static void
    TearDownTestSuite()
    {
        drain();
        log_close();
    }
    /* Discard buffered lines. */
    static void
    drain()
    {
        PipedStdout p;

        fcntl(p.ends[0], F_SETFL, O_NONBLOCK);
        for (int i = 0; i < 4; i++) {
            log_flush();
            p.read_some();
        }
    }
};

} // namespace

/* The reader of the log stops reading.  The process must not block, as its
 * callers would wait too; lines are lost and counted instead. */
TEST_F(Log, AStalledReaderLosesLinesAndDoesNotBlock)
{
    static std::vector<std::string> events; /* the log keeps pointers */
    std::string filler(900, 'x');
    unsigned long lost;
    std::string text;

    for (int i = 0; i < 40; i++) {
        events.push_back("event_" + std::to_string(i));
    }
    {
        PipedStdout p;

        for (auto &name : events) {
            for (int k = 0; k < 50; k++) {
                log_event(LOG_LEVEL_INFO, name.c_str(), "job=1 text=%s",
                    filler.c_str());
            }
            log_flush();
        }
        lost = log_lines_lost();
        text = p.read_some();
    }
    EXPECT_GT(lost, 0u);
    EXPECT_NE(text.find("event=event_0 job=1"), std::string::npos);
}

/* Under load one event could fill the log and use up processor time.  Lines
 * beyond the limit per second are suppressed and counted, and other events are
 * not affected. */
TEST_F(Log, EachEventHasALimitPerSecond)
{
    std::string text;
    size_t lines = 0;

    drain();
    {
        PipedStdout p;

        for (int k = 0; k < 1000; k++) {
            log_event(LOG_LEVEL_INFO, "one_event", "n=%d", k);
        }
        log_event(LOG_LEVEL_INFO, "another_event", "n=1");
        log_flush();
        text = p.read_some();
    }
    for (size_t at = text.find("event=one_event"); at != std::string::npos;
         at = text.find("event=one_event", at + 1)) {
        lines++;
    }
    EXPECT_LE(lines, 100u); /* may span two seconds */
    EXPECT_GE(lines, 50u);
    EXPECT_NE(text.find("event=another_event"), std::string::npos);
}

TEST(Hist, QuantilesAreAtMostAnEighthTooHigh)
{
    for (uint64_t ms = 0; ms < 900000; ms += 1 + ms / 50) {
        hist h = {};

        hist_add(&h, ms);
        EXPECT_GE(hist_quantile(&h, 500), ms);
        EXPECT_LE(hist_quantile(&h, 500), ms + ms / 8);
    }
}

TEST(Hist, Quantiles)
{
    hist h = {};

    for (uint64_t i = 1; i <= 1000; i++) {
        hist_add(&h, i);
    }
    EXPECT_NEAR((double)hist_quantile(&h, 500), 500, 63);
    EXPECT_NEAR((double)hist_quantile(&h, 990), 990, 124);
    EXPECT_EQ(h.count, 1000u);
}

/* An operator queries a running process for a job's log lines: those of a job
 * whose id only has the same prefix must not match, and once the buffer is
 * full the newest lines are kept. */
TEST_F(Log, RecentLinesOfAJobAreKept)
{
    PipedStdout p;
    std::vector<std::string> found;
    auto collect = [](void *ctx, const char *text) {
        static_cast<std::vector<std::string> *>(ctx)->push_back(text);
    };

    log_event(LOG_LEVEL_WARN, "remembered", "job=5c0e why=first");
    log_event(LOG_LEVEL_WARN, "remembered", "job=5c0e17 why=longer");
    log_recent("job=5c0e", collect, &found);
    ASSERT_EQ(found.size(), 1u);
    EXPECT_NE(found[0].find("why=first"), std::string::npos);
    /* Several events, as each has its own limit per second. */
    std::string filler(900, 'x');
    std::vector<std::string> names;
    for (int i = 0; i < 20; i++) {
        names.push_back("filler" + std::to_string(i));
    }
    for (int i = 0; i < 400; i++) {
        log_event(LOG_LEVEL_WARN, names[i % 20].c_str(), "job=f%d text=%s", i,
            filler.c_str());
    }
    found.clear();
    log_recent("job=5c0e", collect, &found);
    EXPECT_TRUE(found.empty());
    log_recent("job=f399", collect, &found);
    ASSERT_EQ(found.size(), 1u);
    found.clear();
    log_recent("job=f200", collect, &found);
    ASSERT_EQ(found.size(), 1u);
    EXPECT_EQ(found[0].find("time="), 0u);
    drain();
}
