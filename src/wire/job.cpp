#include "wire/job.hpp"

#include <algorithm>
#include <cmath>
#include <set>

namespace hitchfront::wire {
using nlohmann::json;
namespace {

constexpr std::size_t kMaxName =
    100;  // bytes; names must fit store keys of 200 bytes with capacity

struct Refused {
  BadField bad;
};

[[noreturn]] void refuse(const char* field, std::string reason) {
  throw Refused{{field, std::move(reason)}};
}

const json& need(const json& o, const char* field) {
  auto it = o.find(field);
  if (it == o.end() || it->is_null()) refuse(field, "missing");
  return *it;
}

std::string text(const json& o, const char* field) {
  const json& v = need(o, field);
  if (!v.is_string()) refuse(field, "must be a string");
  auto s = v.get<std::string>();
  if (s.empty() || s.size() > kMaxName) refuse(field, "must have 1 to 100 bytes");
  return s;
}

double amount(const json& o, const char* field, double most = 1e9) {
  const json& v = need(o, field);
  if (!v.is_number()) refuse(field, "must be a number");
  double d = v.get<double>();
  if (!std::isfinite(d) || d < 0 || d > most) refuse(field, "out of range");
  return d;
}

bool flag(const json& o, const char* field) {
  const json& v = need(o, field);
  if (!v.is_boolean()) refuse(field, "must be true or false");
  return v.get<bool>();
}

bool present(const json& o, const char* field) {
  auto it = o.find(field);
  return it != o.end() && !it->is_null();
}

std::vector<std::string> read_awaits(const json& names, const std::string& own_id) {
  if (!names.is_array()) refuse("Awaits", "must be a list or null");
  std::vector<std::string> awaits;
  std::set<std::string> seen;
  for (const auto& name : names) {
    if (!name.is_string() || !valid_job_id(name.get_ref<const std::string&>()))
      refuse("Awaits", "must hold ids like run-000412");
    auto id = name.get<std::string>();
    if (id == own_id) refuse("Awaits", "names the job itself");
    if (!seen.insert(id).second) refuse("Awaits", "names a job twice");
    awaits.push_back(std::move(id));
  }
  return awaits;
}

Job read_job(const json& o) {
  Job job;
  job.id = text(o, "Ref");
  if (!valid_job_id(job.id)) refuse("Ref", "must look like run-000412");
  job.job_class = text(o, "Docket");
  job.team = text(o, "Desk");
  const auto form = text(o, "Form");
  if (form == "sweep") {
    job.form = Form::array;
  } else if (form == "service") {
    job.form = Form::service;
  } else {
    refuse("Form", "must be sweep or service");
  }
  const auto standing = text(o, "Standing");
  if (standing == "production") {
    job.priority = Priority::production;
  } else if (standing == "urgent") {
    job.priority = Priority::high;
  } else if (standing == "standard") {
    job.priority = Priority::normal;
  } else if (standing == "idle") {
    job.priority = Priority::low;
  } else {
    refuse("Standing", "must be production, urgent, standard or idle");
  }
  const json& lots = need(o, "Lots");
  if (!lots.is_number_unsigned()) refuse("Lots", "must be a whole number");
  if (lots.get<std::uint64_t>() < 1 || lots.get<std::uint64_t>() > kMaxTasks)
    refuse("Lots", "must be 1 to 100000");
  job.tasks = lots.get<std::uint32_t>();
  job.cpus = amount(o, "Cpus");
  job.gpus = amount(o, "Cards");
  job.memory_gb = amount(o, "RamGb");
  if (present(o, "Rigs")) {
    const json& rigs = o["Rigs"];
    if (!rigs.is_array()) refuse("Rigs", "must be a list or null");
    job.types.emplace();
    for (const auto& r : rigs) {
      if (!r.is_string()) refuse("Rigs", "must hold strings");
      job.types->push_back(r.get<std::string>());
    }
  }
  if (present(o, "Hall")) job.zone = text(o, "Hall");
  job.one_zone = flag(o, "Together");
  job.spread = flag(o, "Spread");
  job.spot = flag(o, "Loaners");
  job.image = text(o, "Kit");
  job.image_gb = amount(o, "ImageGb");
  job.estimate_s = amount(o, "ReckonS");
  job.checkpoint_s = amount(o, "MarkS");
  job.save_s = amount(o, "StowS");
  if (present(o, "DueS")) job.deadline_s = amount(o, "DueS");
  if (present(o, "Awaits")) job.awaits = read_awaits(o["Awaits"], job.id);
  return job;
}

const char* name(Form f) {
  return f == Form::service ? "service" : "sweep";
}
const char* name(Priority p) {
  switch (p) {
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
  ParsedJob out;
  if (body.size() > kMaxBody) {
    out.bad = BadField{"", "body over 64 KiB"};
    return out;
  }
  json o = json::parse(body, nullptr, false);
  if (o.is_discarded() || !o.is_object()) {
    out.bad = BadField{"", o.is_discarded() ? "not JSON" : "not an object"};
    return out;
  }
  if (auto it = o.find("Ref"); it != o.end() && it->is_string()) {
    if (const auto& s = it->get_ref<const std::string&>(); valid_job_id(s)) out.known_id = s;
  }
  try {
    out.job = read_job(o);
  } catch (const Refused& r) {
    out.bad = r.bad;
  }
  return out;
}

json to_json(const Job& j) {
  json o = {{"Ref", j.id},
            {"Docket", j.job_class},
            {"Desk", j.team},
            {"Form", name(j.form)},
            {"Standing", name(j.priority)},
            {"Lots", j.tasks},
            {"Cpus", j.cpus},
            {"Cards", j.gpus},
            {"RamGb", j.memory_gb},
            {"Together", j.one_zone},
            {"Spread", j.spread},
            {"Loaners", j.spot},
            {"Kit", j.image},
            {"ImageGb", j.image_gb},
            {"ReckonS", j.estimate_s},
            {"MarkS", j.checkpoint_s},
            {"StowS", j.save_s}};
  if (j.types) o["Rigs"] = *j.types;
  if (j.zone) o["Hall"] = *j.zone;
  if (j.deadline_s) o["DueS"] = *j.deadline_s;
  if (!j.awaits.empty()) o["Awaits"] = j.awaits;
  return o;
}

std::string encode(const UnfinishedJob& r) {
  return json{{"job", to_json(r.job)},
              {"at", r.accepted_ms},
              {"gone", r.cancelled},
              {"mark", r.launch_watermark}}
      .dump();
}

std::string encode_within(const UnfinishedJob& r, std::size_t most,
                          const std::vector<std::string>& known_type_names) {
  auto text = encode(r);
  if (text.size() <= most || !r.job.types) return text;
  auto shorter = r;
  std::erase_if(*shorter.job.types, [&](const std::string& type) {
    return r.cancelled || std::find(known_type_names.begin(), known_type_names.end(), type) ==
                              known_type_names.end();
  });
  return encode(shorter);
}

std::optional<UnfinishedJob> decode_unfinished_job(const json& v) {
  try {
    UnfinishedJob r;
    r.job = read_job(v.at("job"));
    r.accepted_ms = v.at("at").get<std::int64_t>();
    r.cancelled = v.at("gone").get<bool>();
    r.launch_watermark = v.at("mark").get<std::uint32_t>();
    return r;
  } catch (const Refused&) {
  } catch (const json::exception&) {
  }
  return std::nullopt;
}

std::string encode(const JobOutcome& r) {
  return json{{"gone", r.cancelled}, {"done", r.done}}.dump();
}

std::optional<JobOutcome> decode_job_outcome(const json& v) {
  try {
    return JobOutcome{v.at("gone").get<bool>(), v.at("done").get<std::uint32_t>()};
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

std::string job_answer(std::string_view id, std::string_view status, std::uint32_t done,
                       std::uint32_t running) {
  return json{{"Ref", id}, {"Status", status}, {"done", done}, {"running", running}}.dump();
}

std::string job_status(std::string_view id, std::string_view status) {
  return json{{"Ref", id}, {"Status", status}}.dump();
}

std::string error_body(std::string_view error, std::string_view field) {
  json o = {{"error", error}};
  if (!field.empty()) o["field"] = field;
  // Names come from outside and may hold broken UTF-8.
  return o.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace hitchfront::wire
