#include "wire/job.hpp"

#include <algorithm>
#include <cmath>
#include <set>

namespace hitchfront::wire {
using nlohmann::json;
namespace {

constexpr std::size_t kMaxNameBytes = 100;  // store keys have at most 200 bytes

struct Rejected {
  FieldError error;
};

[[noreturn]] void reject(const char* field, std::string reason) {
  throw Rejected{{field, std::move(reason)}};
}

const json& required_field(const json& object, const char* field) {
  auto it = object.find(field);
  if (it == object.end() || it->is_null()) reject(field, "missing");
  return *it;
}

std::string required_name(const json& object, const char* field) {
  const json& value = required_field(object, field);
  if (!value.is_string()) reject(field, "must be a string");
  auto name = value.get<std::string>();
  if (name.empty() || name.size() > kMaxNameBytes) reject(field, "must have 1 to 100 bytes");
  return name;
}

double required_number(const json& object, const char* field, double max = 1e9) {
  const json& value = required_field(object, field);
  if (!value.is_number()) reject(field, "must be a number");
  double number = value.get<double>();
  if (!std::isfinite(number) || number < 0 || number > max) reject(field, "out of range");
  return number;
}

bool required_bool(const json& object, const char* field) {
  const json& value = required_field(object, field);
  if (!value.is_boolean()) reject(field, "must be true or false");
  return value.get<bool>();
}

bool has_value(const json& object, const char* field) {
  auto it = object.find(field);
  return it != object.end() && !it->is_null();
}

std::vector<std::string> read_dependencies(const json& names, const std::string& own_id) {
  if (!names.is_array()) reject("Awaits", "must be a list or null");
  std::vector<std::string> dependencies;
  std::set<std::string> unique_ids;
  for (const auto& name : names) {
    if (!name.is_string() || !valid_job_id(name.get_ref<const std::string&>()))
      reject("Awaits", "must hold ids like run-000412");
    auto id = name.get<std::string>();
    if (id == own_id) reject("Awaits", "names the job itself");
    if (!unique_ids.insert(id).second) reject("Awaits", "names a job twice");
    dependencies.push_back(std::move(id));
  }
  return dependencies;
}

Job read_job(const json& object) {
  Job job;
  job.id = required_name(object, "Ref");
  if (!valid_job_id(job.id)) reject("Ref", "must look like run-000412");
  job.job_class = required_name(object, "Docket");
  job.team = required_name(object, "Desk");
  const auto form = required_name(object, "Form");
  if (form == "sweep") {
    job.form = JobForm::array;
  } else if (form == "service") {
    job.form = JobForm::service;
  } else {
    reject("Form", "must be sweep or service");
  }
  const auto priority = required_name(object, "Standing");
  if (priority == "production") {
    job.priority = Priority::production;
  } else if (priority == "urgent") {
    job.priority = Priority::high;
  } else if (priority == "standard") {
    job.priority = Priority::normal;
  } else if (priority == "idle") {
    job.priority = Priority::low;
  } else {
    reject("Standing", "must be production, urgent, standard or idle");
  }
  const json& task_count = required_field(object, "Lots");
  if (!task_count.is_number_unsigned()) reject("Lots", "must be a whole number");
  if (task_count.get<std::uint64_t>() < 1 || task_count.get<std::uint64_t>() > kMaxTasks)
    reject("Lots", "must be 1 to 100000");
  job.tasks = task_count.get<std::uint32_t>();
  job.cpus = required_number(object, "Cpus");
  job.gpus = required_number(object, "Cards");
  job.memory_gb = required_number(object, "RamGb");
  if (has_value(object, "Rigs")) {
    const json& types = object["Rigs"];
    if (!types.is_array()) reject("Rigs", "must be a list or null");
    job.types.emplace();
    for (const auto& type : types) {
      if (!type.is_string()) reject("Rigs", "must hold strings");
      job.types->push_back(type.get<std::string>());
    }
  }
  if (has_value(object, "Hall")) job.zone = required_name(object, "Hall");
  job.one_zone = required_bool(object, "Together");
  job.spread = required_bool(object, "Spread");
  job.spot = required_bool(object, "Loaners");
  job.image = required_name(object, "Kit");
  job.image_gb = required_number(object, "ImageGb");
  job.estimate_s = required_number(object, "ReckonS");
  job.checkpoint_s = required_number(object, "MarkS");
  job.save_s = required_number(object, "StowS");
  if (has_value(object, "DueS")) job.deadline_s = required_number(object, "DueS");
  if (has_value(object, "Awaits")) job.dependencies = read_dependencies(object["Awaits"], job.id);
  return job;
}

const char* name(JobForm form) {
  return form == JobForm::service ? "service" : "sweep";
}
const char* name(Priority priority) {
  switch (priority) {
    case Priority::production:
      return "production";
    case Priority::high:
      return "urgent";
    case Priority::normal:
      return "standard";
    case Priority::low:
      return "idle";
  }
  return "idle";
}

}  // namespace

bool valid_job_id(std::string_view id) {
  if (!id.starts_with("run-") || id.size() < 5 || id.size() > 40) return false;
  return std::all_of(id.begin() + 4, id.end(), [](char c) { return c >= '0' && c <= '9'; });
}

ParsedJob parse_job(std::string_view body) {
  ParsedJob parsed;
  if (body.size() > kMaxBodyBytes) {
    parsed.error = FieldError{"", "body over 64 KiB"};
    return parsed;
  }
  json object = json::parse(body, nullptr, false);
  if (object.is_discarded() || !object.is_object()) {
    parsed.error = FieldError{"", object.is_discarded() ? "not JSON" : "not an object"};
    return parsed;
  }
  if (auto it = object.find("Ref"); it != object.end() && it->is_string()) {
    if (const auto& id = it->get_ref<const std::string&>(); valid_job_id(id)) parsed.known_id = id;
  }
  try {
    parsed.job = read_job(object);
  } catch (const Rejected& rejected) {
    parsed.error = rejected.error;
  }
  return parsed;
}

json to_json(const Job& job) {
  json object = {{"Ref", job.id},
                 {"Docket", job.job_class},
                 {"Desk", job.team},
                 {"Form", name(job.form)},
                 {"Standing", name(job.priority)},
                 {"Lots", job.tasks},
                 {"Cpus", job.cpus},
                 {"Cards", job.gpus},
                 {"RamGb", job.memory_gb},
                 {"Together", job.one_zone},
                 {"Spread", job.spread},
                 {"Loaners", job.spot},
                 {"Kit", job.image},
                 {"ImageGb", job.image_gb},
                 {"ReckonS", job.estimate_s},
                 {"MarkS", job.checkpoint_s},
                 {"StowS", job.save_s}};
  if (job.types) object["Rigs"] = *job.types;
  if (job.zone) object["Hall"] = *job.zone;
  if (job.deadline_s) object["DueS"] = *job.deadline_s;
  if (!job.dependencies.empty()) object["Awaits"] = job.dependencies;
  return object;
}

std::string encode(const UnfinishedJob& record) {
  return json{{"job", to_json(record.job)},
              {"at", record.accepted_ms},
              {"gone", record.cancelled},
              {"mark", record.launch_watermark}}
      .dump();
}

std::string encode_within(const UnfinishedJob& record, std::size_t max_bytes,
                          const std::vector<std::string>& known_type_names) {
  auto encoded = encode(record);
  if (encoded.size() <= max_bytes || !record.job.types) return encoded;
  auto shortened = record;
  std::erase_if(*shortened.job.types, [&](const std::string& type) {
    return record.cancelled || std::find(known_type_names.begin(), known_type_names.end(), type) ==
                                   known_type_names.end();
  });
  return encode(shortened);
}

std::optional<UnfinishedJob> decode_unfinished_job(const json& value) {
  try {
    UnfinishedJob record;
    record.job = read_job(value.at("job"));
    record.accepted_ms = value.at("at").get<std::int64_t>();
    record.cancelled = value.at("gone").get<bool>();
    record.launch_watermark = value.at("mark").get<std::uint32_t>();
    return record;
  } catch (const Rejected&) {
  } catch (const json::exception&) {
  }
  return std::nullopt;
}

std::string encode(const JobOutcome& record) {
  return json{{"gone", record.cancelled}, {"done", record.done}}.dump();
}

std::optional<JobOutcome> decode_job_outcome(const json& value) {
  try {
    return JobOutcome{value.at("gone").get<bool>(), value.at("done").get<std::uint32_t>()};
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

std::string job_counts_body(std::string_view id, std::string_view status, std::uint32_t done,
                            std::uint32_t running) {
  return json{{"Ref", id}, {"Status", status}, {"done", done}, {"running", running}}.dump();
}

std::string job_status_body(std::string_view id, std::string_view status) {
  return json{{"Ref", id}, {"Status", status}}.dump();
}

std::string error_body(std::string_view error, std::string_view field) {
  json object = {{"error", error}};
  if (!field.empty()) object["field"] = field;
  // Texts from requests may contain invalid UTF-8.
  return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace hitchfront::wire
