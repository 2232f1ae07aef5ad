// The scale run's options and its measures; the run itself is no test.
#include <gtest/gtest.h>

#include <random>

#include "scale/options.hpp"
#include "scale/result.hpp"

namespace hitchfront::scale {
namespace {

Options good() {
  Options o;
  o.program = HITCHFRONT_SCALE_PROGRAM;
  o.directory = ::testing::TempDir();
  return o;
}
constexpr Machine kLarge{100'000, std::size_t{64} << 30, {}};

TEST(ScaleOptions, WhatThisMachineCannotCarryIsSaidBeforehand) {
  EXPECT_TRUE(problems(good(), kLarge).empty());
  const auto one = [](const std::function<void(Options&)>& change, const Machine& machine,
                      const char* what) {
    auto o = good();
    change(o);
    const auto found = problems(o, machine);
    ASSERT_EQ(found.size(), 1U) << what;
    EXPECT_NE(found[0].find(what), std::string::npos) << found[0];
  };
  one([](auto& o) { o.workers = 9200; }, {20'000, std::size_t{64} << 30, {}}, "open files");
  one([](auto& o) { o.workers = 9200; }, {100'000, std::size_t{2} << 30, {}}, "memory");
  one([](auto& o) { o.starts_per_s = 500; }, kLarge, "--starts-per-s");
  one([](auto& o) { o.program = "/nonexistent"; }, kLarge, "can't be run");
  one([](auto&) {}, {100'000, std::size_t{64} << 30, {"127.0.0.9:20000"}}, "in use");
  one(
      [](auto& o) {
        o.workers = 5;
        o.starts_per_s = 0.1;
      },
      kLarge, "fewer than zones");
  one([](auto& o) { o.lease_s = 5; }, kLarge, "--lease-s");
  // Without commands and failures a worker takes one file instead of three.
  auto frugal = good();
  frugal.workers = 9200;
  frugal.failures = frugal.commands = false;
  EXPECT_TRUE(problems(frugal, {20'000, std::size_t{64} << 30, {}}).empty());
}

TEST(ScaleOptions, BadOnesAreRefusedWithStatus2) {
  const std::string directory = ::testing::TempDir();
  const std::vector<std::vector<std::string>> bad = {{},
                                                     {"--workers", "0"},
                                                     {"--workers", "many"},
                                                     {"--controllers", "0"},
                                                     {"--controllers", "17"},
                                                     {"--regions", "0"},
                                                     {"--zones", "9"},
                                                     {"--teams", "0"},
                                                     {"--starts-per-s", "-1"},
                                                     {"--jobs-per-s", "501"},
                                                     {"--run-s", "0"},
                                                     {"--urgent", "1.5"},
                                                     {"--cancelled", "-0.1"},
                                                     {"--seconds", "5"},
                                                     {"--settle-s", "-1"},
                                                     {"--report-s", "0"},
                                                     {"--lease-s", "0"},
                                                     {"--region-delay-ms", "2000"},
                                                     {"--cores", "0"},
                                                     {"--store-requests", "1"},
                                                     {"--store-writes", "1"},
                                                     {"--port", "80"},
                                                     {"--unknown", "1"}};
  for (const auto& extra : bad) {
    std::vector<std::string> words = {"hitchfront_scale"};
    if (!extra.empty())
      words.insert(words.end(), {"--program", HITCHFRONT_SCALE_PROGRAM, "--directory", directory});
    words.insert(words.end(), extra.begin(), extra.end());
    std::vector<char*> argv;
    for (auto& w : words) argv.push_back(w.data());
    int status = 0;
    EXPECT_FALSE(parse(static_cast<int>(argv.size()), argv.data(), status));
    EXPECT_EQ(status, 2) << (extra.empty() ? "nothing" : extra[0]);
  }
}

TEST(ScaleTimes, QuantilesAreThoseOfTheTimesWithinABin) {
  Times times(3.6);
  std::mt19937_64 random(3);
  std::vector<double> all;
  std::size_t within = 0;
  for (int i = 0; i < 5000; ++i) {
    all.push_back(std::exponential_distribution<>(0.5)(random) + 0.01);
    times.add(all.back());
    within += all.back() <= 3.6 ? 1 : 0;
  }
  std::sort(all.begin(), all.end());
  for (const double share : {0.1, 0.5, 0.95, 0.99}) {
    const double exact = all[static_cast<std::size_t>(share * 5000)];
    EXPECT_NEAR(times.quantile(share) / exact, 1, 0.04) << share;
  }
  EXPECT_DOUBLE_EQ(times.share_within_bound(), static_cast<double>(within) / 5000);
  EXPECT_EQ(Times().quantile(0.5), 0);
}

}  // namespace
}  // namespace hitchfront::scale
