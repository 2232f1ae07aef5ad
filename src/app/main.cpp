// The command-line interface.
#include <CLI/CLI.hpp>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <string>

#include "net/log.hpp"
#include "net/runtime.hpp"
#include "settings/platform.hpp"
#include "telemetry/log_summary.hpp"

namespace {

// For bad options, settings and input files.
constexpr int kExitUsageError = 2;

// Prints a summary of the controllers' logs in the files (- is standard input). Returns an exit
// status: an error if a file cannot be read, or if no file contains a log record.
int print_log_summary(const std::vector<std::string>& files) {
  hitchfront::telemetry::LogSummary log_summary;
  for (const auto& file : files) {
    if (file == "-") {
      log_summary.read(std::cin);
      continue;
    }
    std::ifstream input(file);
    if (!input) {
      std::fprintf(stderr, "%s: can't be read\n", file.c_str());
      return kExitUsageError;
    }
    log_summary.read(input);
  }
  std::fputs(log_summary.render().c_str(), stdout);
  return log_summary.records() > 0 ? 0 : kExitUsageError;
}

// Prints all problems of the platform settings to standard error. Returns whether there are none.
bool print_problems(const hitchfront::settings::LoadedPlatform& loaded, const std::string& path) {
  for (const auto& problem : loaded.problems)
    std::fprintf(stderr, "%s: %s\n", path.c_str(), problem.c_str());
  return loaded.problems.empty();
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"hitchfront, a cluster scheduler", "hitchfront"};
  app.set_version_flag("--version", HITCHFRONT_VERSION);
  std::string platform_path, operator_path;
  const char* const operator_help = "Operator settings file (see docs/operations.md)";
  app.add_option("--config", platform_path, "Platform settings file (JSON)");
  app.add_option("--operator", operator_path, operator_help);
  auto* serve = app.add_subcommand("serve", "Run a controller until it is killed (the default)");
  serve->add_option("--config", platform_path, "Platform settings file (JSON)")->required();
  serve->add_option("--operator", operator_path, operator_help);
  auto* check = app.add_subcommand("check", "Validate the settings files and exit");
  check->add_option("--config", platform_path, "Platform settings file (JSON)");
  check->add_option("--operator", operator_path, operator_help);
  std::string log_format = "text";
  for (auto* command : {&app, serve})
    command
        ->add_option("--log-format", log_format, "Log format: text, or json (one object per line)")
        ->check(CLI::IsMember({"text", "json"}));
  auto* log_command = app.add_subcommand("log", "Analyze logs");
  std::vector<std::string> files;
  auto* explain_subcommand = log_command->add_subcommand(
      "explain", "Summarize terms, takeovers, outages and losses from controllers' JSON logs");
  explain_subcommand
      ->add_option("FILE", files, "Logs written with --log-format json; - is standard input")
      ->required();
  log_command->require_subcommand(1);
  app.require_subcommand(0, 1);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : kExitUsageError;
  }
  if (explain_subcommand->parsed()) return print_log_summary(files);

  if (platform_path.empty() && !(check->parsed() && !operator_path.empty())) {
    std::fputs("hitchfront: --config FILE is required; see --help\n", stderr);
    return kExitUsageError;
  }
  // Reports the problems of both files before exiting.
  hitchfront::settings::LoadedOperatorSettings loaded_operator;
  if (!operator_path.empty())
    loaded_operator = hitchfront::settings::load_operator_settings(operator_path);
  for (const auto& problem : loaded_operator.problems)
    std::fprintf(stderr, "%s\n", problem.text(operator_path).c_str());
  hitchfront::settings::LoadedPlatform loaded_platform;
  if (!platform_path.empty()) loaded_platform = hitchfront::settings::load_platform(platform_path);
  const bool is_valid =
      print_problems(loaded_platform, platform_path) && loaded_operator.problems.empty();
  if (!is_valid) return kExitUsageError;
  if (check->parsed()) {
    for (const auto& file : {platform_path, operator_path})
      if (!file.empty()) std::printf("%s: valid\n", file.c_str());
    return 0;
  }
  hitchfront::net::set_up_log(
      loaded_platform.platform.node,
      log_format == "json" ? hitchfront::net::LogFormat::json : hitchfront::net::LogFormat::text);
  return hitchfront::net::serve(loaded_platform.platform, loaded_operator.settings);
}
