// Plays a drill's plan. Exit status 0: it passed; 1: it failed; 2: it could not be played.
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <exception>
#include <fstream>
#include <optional>

#include "drills/drill.hpp"

namespace {
using namespace hitchfront::drills;

constexpr int kFailed = 1, kNotPlayed = 2;

struct CommandLine {
  std::string plan;
  std::vector<std::string> builds;  // NAME=PROGRAM
  Options options;
};

// Says on standard error what is wrong.
bool read_builds(CommandLine& line) {
  for (const auto& build : line.builds) {
    const auto equals = build.find('=');
    if (equals == std::string::npos || access(build.c_str() + equals + 1, X_OK) != 0) {
      std::fprintf(stderr, "--build %s: must be NAME=PROGRAM, and the program must be there\n",
                   build.c_str());
      return false;
    }
    line.options.programs[build.substr(0, equals)] = build.substr(equals + 1);
  }
  return true;
}

int play(const CommandLine& line) {
  std::ifstream in(line.plan);
  const auto parsed = nlohmann::json::parse(in, nullptr, false);
  if (!parsed.is_object()) {
    std::fprintf(stderr, "%s: not a JSON object\n", line.plan.c_str());
    return kNotPlayed;
  }
  try {
    const auto plan = parse_plan(parsed);
    const auto result = Drill(plan, line.options).run();
    std::printf("%s", summary(result).c_str());
    return passed(plan, result) ? 0 : kFailed;
  } catch (const std::exception& e) {
    std::fprintf(stderr, "%s: %s\n", line.plan.c_str(), e.what());
    return kNotPlayed;
  }
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{
      "Plays a plan with real controllers on loopback, and checks what users and machines saw",
      "hitchfront_drill"};
  CommandLine line;
  auto& options = line.options;
  options.directory = ".";
  app.add_option("--plan", line.plan, "The plan (JSON)")->required()->check(CLI::ExistingFile);
  app.add_option("--build", line.builds, "A build of the service, as NAME=PROGRAM")->required();
  app.add_option("--dir", options.directory, "Where history, settings and logs go")
      ->capture_default_str()
      ->check(CLI::ExistingDirectory);
  app.add_option("--port", options.port, "First of the two ports on each address")
      ->capture_default_str();
  app.add_option("--seed", options.seed, "Of the users' draws")->capture_default_str();
  CLI11_PARSE(app, argc, argv);
  if (!read_builds(line)) return kNotPlayed;
  return play(line);
}
