// The command line.
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

constexpr int kBadSettings = 2;

// Prints a summary of the logs in the files (- is standard input). 0, or 2 where a file can't be
// read or holds nothing of ours.
int explain(const std::vector<std::string>& files) {
  hitchfront::telemetry::LogSummary log_summary;
  for (const auto& file : files) {
    if (file == "-") {
      log_summary.read(std::cin);
      continue;
    }
    std::ifstream in(file);
    if (!in) {
      std::fprintf(stderr, "%s: can't be read\n", file.c_str());
      return kBadSettings;
    }
    log_summary.read(in);
  }
  std::fputs(log_summary.render().c_str(), stdout);
  return log_summary.records() > 0 ? 0 : kBadSettings;
}

// Prints every problem; true if there is none.
bool usable(const hitchfront::settings::LoadedPlatform& loaded, const std::string& path) {
  for (const auto& p : loaded.problems) std::fprintf(stderr, "%s: %s\n", path.c_str(), p.c_str());
  return loaded.problems.empty();
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"hitchfront, a cluster scheduler", "hitchfront"};
  app.set_version_flag("--version", HITCHFRONT_VERSION);
  std::string path, operator_path;
  const char* const operator_help = "The operators' own settings (see docs/operations.md)";
  app.add_option("--config", path, "Settings file of the platform (JSON)");
  app.add_option("--operator", operator_path, operator_help);
  auto* serve = app.add_subcommand("serve", "Run a controller until it is killed (the default)");
  serve->add_option("--config", path, "Settings file of the platform (JSON)")->required();
  serve->add_option("--operator", operator_path, operator_help);
  auto* check = app.add_subcommand("check", "Check the settings without serving");
  check->add_option("--config", path, "Settings file of the platform (JSON)");
  check->add_option("--operator", operator_path, operator_help);
  std::string format = "text";
  for (auto* a : {&app, serve})
    a->add_option("--log-format", format, "Form of the log: text, or json (an object a line)")
        ->check(CLI::IsMember({"text", "json"}));
  auto* log = app.add_subcommand("log", "Reads logs");
  std::vector<std::string> files;
  auto* explain_command = log->add_subcommand(
      "explain", "Summarizes terms, takeovers, outages and losses from controllers' JSON logs");
  explain_command
      ->add_option("FILE", files, "Logs written with --log-format json; - is standard input")
      ->required();
  log->require_subcommand(1);
  app.require_subcommand(0, 1);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return app.exit(e) == 0 ? 0 : kBadSettings;
  }
  if (explain_command->parsed()) return explain(files);

  if (path.empty() && !(check->parsed() && !operator_path.empty())) {
    std::fputs("hitchfront: --config FILE is needed; see --help\n", stderr);
    return kBadSettings;
  }
  // Every problem of both files is printed before giving up.
  hitchfront::settings::LoadedOperatorSettings own;
  if (!operator_path.empty()) own = hitchfront::settings::load_operator_settings(operator_path);
  for (const auto& p : own.problems) std::fprintf(stderr, "%s\n", p.text(operator_path).c_str());
  hitchfront::settings::LoadedPlatform loaded;
  if (!path.empty()) loaded = hitchfront::settings::load_platform(path);
  const bool fine = usable(loaded, path) && own.problems.empty();
  if (!fine) return kBadSettings;
  if (check->parsed()) {
    for (const auto& file : {path, operator_path})
      if (!file.empty()) std::printf("%s: in order\n", file.c_str());
    return 0;
  }
  hitchfront::net::set_up_log(loaded.platform.node, format == "json"
                                                        ? hitchfront::net::LogFormat::json
                                                        : hitchfront::net::LogFormat::text);
  return hitchfront::net::serve(loaded.platform, own.settings);
}
