// Users' requests, each written into the record with its answer.
#pragma once
#include <nlohmann/json.hpp>
#include <string>

#include "controllers.hpp"

namespace review {

// A small job of one-processor tasks that needs no machine type in particular.
inline nlohmann::json job(const std::string& id, const std::string& team, int tasks) {
  return {{"Ref", id},       {"Docket", "review"},     {"Desk", team},
          {"Form", "sweep"}, {"Standing", "standard"}, {"Lots", tasks},
          {"Cpus", 1.0},     {"Cards", 0.0},           {"RamGb", 1.0},
          {"Kit", "img-01"}, {"ImageGb", 0.1},         {"Rigs", nullptr},
          {"Hall", nullptr}, {"Together", false},      {"Spread", false},
          {"Loaners", true}, {"ReckonS", 20.0},        {"MarkS", 0.0},
          {"StowS", 0.0},    {"DueS", nullptr}};
}

class Users {
 public:
  explicit Users(Record& record) : record_(record) {}

  Reply submit(const Controller& node, const nlohmann::json& job) {
    const auto reply = call_once(node.client_port, "POST", "/work", job.dump(), 5000);
    record_.line("user -> %s POST /work %s: %d %s", node.name.c_str(),
                 job.at("Ref").get<std::string>().c_str(), reply.status, reply.body.c_str());
    return reply;
  }
  Reply poll(const Controller& node, const std::string& id) {
    const auto reply = call_once(node.client_port, "GET", "/work/" + id, {}, 2000);
    record_.line("user -> %s GET /work/%s: %d %s", node.name.c_str(), id.c_str(), reply.status,
                 reply.body.c_str());
    return reply;
  }
  Reply cancel(const Controller& node, const std::string& id) {
    const auto reply = call_once(node.client_port, "POST", "/work/" + id + "/abort", "{}", 5000);
    record_.line("user -> %s POST /work/%s/abort: %d %s", node.name.c_str(), id.c_str(),
                 reply.status, reply.body.c_str());
    return reply;
  }
  // Repeats the submission as PROTOCOL has it until it is accepted, or the time is over.
  bool submit_until_accepted(const Controller& node, const nlohmann::json& job,
                             std::int64_t timeout_ms) {
    return wait_until(
        timeout_ms,
        [&] {
          const auto status = submit(node, job).status;
          return status == 200 || status == 201;
        },
        1000);
  }

 private:
  Record& record_;
};

inline std::string status_of(const Reply& reply) {
  const auto body = nlohmann::json::parse(reply.body, nullptr, false);
  return body.is_object() ? body.value("Status", "") : "";
}

}  // namespace review
