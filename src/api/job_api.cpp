#include "api/job_api.hpp"

#include <algorithm>

#include "settings/constants.hpp"

namespace hitchfront::core {
using namespace settings;
using Rank = StoreClient::Rank;
using telemetry::Refusal;
namespace {
constexpr int kCancelTries = 8;  // the leader writes a job's record a few times a second at most

std::string_view word(const wire::JobOutcome& r) {
  return r.cancelled ? wire::kCancelled : wire::kDone;
}

wire::BadField never_done(const std::string& service) {
  return {"Awaits", service + " is a service, which is never done"};
}
}  // namespace

JobApi::JobApi(Outbox& out, StoreClient& store, const Platform& platform, AskCounts ask,
               recovery::StateReplica& replica, std::function<bool(Ms)> sure,
               std::function<bool(Ms)> heard)
    : out_(out),
      store_(store),
      platform_(platform),
      ask_(std::move(ask)),
      view_(store),
      replica_(replica),
      sure_(std::move(sure)),
      heard_(std::move(heard)) {
  view_.on_record = [this](const std::string& job, const nlohmann::json& value,
                           const wire::UnfinishedJob& record, std::uint64_t stamp) {
    replica_.add_unfinished(job, value.dump(), record.cancelled, record.launch_watermark);
    if (on_read) on_read(unfinished_key(job), stamp);
  };
}

void JobApi::publish_unfinished(const std::string& id, const wire::UnfinishedJob& record) {
  const auto text = wire::encode(record);
  replica_.add_unfinished(id, text, record.cancelled, record.launch_watermark);
  if (!on_publish) return;
  recovery::StateReplica one(1);
  one.add_unfinished(id, text, record.cancelled, record.launch_watermark);
  on_publish(one);
}

void JobApi::publish_outcome(const std::string& id, const wire::JobOutcome& record) {
  if (replica_.outcome_of(id)) return;
  replica_.add_outcome(id, record);
  if (!on_publish) return;
  recovery::StateReplica one(1);
  one.add_outcome(id, record);
  on_publish(one);
}

// Refuses where it may not be.
bool JobApi::may_be_new(Ms now, std::uint64_t request, bool known) {
  if (known && on_contradiction) on_contradiction(now);
  if (!known && sure_(now)) return true;
  refuse(request, Refusal::level);
  return false;
}

// No node may call a job unknown that was accepted: what this one holds in its copy was, and a
// process that has just started asks the others first whether the store has forgotten something.
void JobApi::unknown(Ms now, std::uint64_t request, bool known) {
  if (may_be_new(now, request, known)) out_.reply(request, 404, wire::error_body("no such job"));
}

void JobApi::refuse(std::uint64_t request, Refusal why, int status) {
  const char* text =
      why == Refusal::busy    ? "busy"
      : why == Refusal::store ? "the store can't be asked"
      : why == Refusal::types ? "machine types not known yet"
      : why == Refusal::abstaining
          ? "a leader that can't read the store has to know of the cancellation first"
      : why == Refusal::level
          ? "the level of the stored state is not known yet, or not to this version"
          : "try again";
  out_.log(Event::request_refused, status, text);
  out_.metrics().add(telemetry::Count::refusals, why);
  out_.reply(request, status, wire::error_body(text), kRetryAfterS);
}

void JobApi::deny(std::uint64_t request, int status, const wire::BadField& bad) {
  out_.metrics().add(telemetry::Count::refusals,
                     status == 422 ? Refusal::never : Refusal::malformed);
  out_.reply(request, status, wire::error_body(bad.reason, bad.field));
}

void JobApi::remember_outcome(const std::string& id, wire::JobOutcome record) {
  if (!outcomes_.emplace(id, record).second) return;
  outcome_order_.push_back(id);
  if (outcome_order_.size() > kOutcomeCache) {
    outcomes_.erase(outcome_order_.front());
    outcome_order_.pop_front();
  }
}

std::optional<wire::JobOutcome> JobApi::known_outcome(const std::string& id) const {
  const auto it = outcomes_.find(id);
  return it != outcomes_.end() ? std::optional(it->second) : replica_.outcome_of(id);
}

// live/ first, then over/: records only move that way, so a job can't slip through between the two.
void JobApi::look_up(Ms now, const std::string& id, std::function<void(Ms, const Found&)> done) {
  if (const auto record = known_outcome(id)) {
    Found f;
    f.outcome = *record;
    return done(now, f);
  }
  store_.get(now, Rank::user, unfinished_key(id),
             [this, id, done](Ms t, int status, std::string_view body) {
               Found f;
               if (status == 200) {
                 if (auto item = wire::parse_item(body)) {
                   f.unfinished = wire::decode_unfinished_job(item->value);
                   f.version = item->version;
                 }
                 f.failed = !f.unfinished;
                 if (f.unfinished && f.unfinished->cancelled) {
                   remember_outcome(id, {true, 0});
                   publish_unfinished(id, *f.unfinished);
                 }
                 return done(t, f);
               }
               if (status != 404) {
                 f.failed = true;
                 return done(t, f);
               }
               store_.get(t, Rank::user, outcome_key(id),
                          [this, id, done](Ms t2, int status2, std::string_view body2) {
                            Found g;
                            if (status2 == 200) {
                              if (auto item = wire::parse_item(body2))
                                g.outcome = wire::decode_job_outcome(item->value);
                              g.failed = !g.outcome;
                              if (g.outcome) {
                                remember_outcome(id, *g.outcome);
                                publish_outcome(id, *g.outcome);
                              }
                            } else if (status2 != 404) {
                              g.failed = true;
                            }
                            done(t2, g);
                          });
             });
}

std::optional<wire::BadField> JobApi::can_never_run(const wire::Job& job) const {
  const auto team = std::find_if(platform_.teams.begin(), platform_.teams.end(),
                                 [&](const Team& t) { return t.name == job.team; });
  if (team == platform_.teams.end()) return wire::BadField{"Desk", "unknown team"};
  const double n = job.form == wire::Form::service ? job.tasks : 1;
  constexpr double eps = 1e-9;
  if (job.cpus * n > team->cpus_max + eps) return wire::BadField{"Cpus", "over the team's limit"};
  if (job.gpus * n > team->gpus_max + eps) return wire::BadField{"Cards", "over the team's limit"};
  for (const auto& t : types_) {
    if (job.types && std::find(job.types->begin(), job.types->end(), t.name) == job.types->end())
      continue;
    if (job.zone && std::find(t.zones.begin(), t.zones.end(), *job.zone) == t.zones.end()) continue;
    if (job.cpus <= t.cpus + eps && job.gpus <= t.gpus + eps && job.memory_gb <= t.memory_gb + eps)
      return std::nullopt;
  }
  return wire::BadField{"Rigs", "a task fits no allowed machine type"};
}

void JobApi::respond_known(Ms now, std::uint64_t request, const std::string& id, const Found& f) {
  if (f.outcome ? f.outcome->cancelled : f.unfinished->cancelled)
    return respond_cancelled(now, request, id, wire::job_status(id, wire::kCancelled));
  if (f.outcome) return out_.reply(request, 200, wire::job_status(id, word(*f.outcome)));
  const auto status =
      f.unfinished->launch_watermark > kInitialWatermark ? wire::kRunning : wire::kPending;
  unless_cancelled_with(
      now, request, id, f.unfinished->job.awaits,
      [this, request, id, status](Ms) { out_.reply(request, 200, wire::job_status(id, status)); });
}

void JobApi::respond_cancelled(Ms now, std::uint64_t request, const std::string& id,
                               std::string body) {
  if (!replica_.outcome_of(id) && may_acknowledge_cancellation &&
      !may_acknowledge_cancellation(now, id))
    return refuse(request, Refusal::abstaining);
  out_.reply(request, 200, std::move(body));
}

void JobApi::submit(Ms now, std::int64_t wall_ms, std::uint64_t request, std::string_view body) {
  auto parsed = wire::parse_job(body);
  if (!parsed.job && parsed.known_id.empty()) return deny(request, 400, *parsed.bad);
  const std::string id = parsed.known_id;
  // A repeat of what was accepted is never refused for load: it has no write to wait for.
  if (parsed.job && !outcomes_.contains(id) && replica_.knows(id) && !replica_.outcome_of(id))
    return respond_to_repeat(now, request, id);
  if (store_.unreachable(now)) return refuse(request, Refusal::store);
  if (store_.crowded(Rank::user)) return refuse(request, Refusal::busy, 429);
  std::optional<wire::BadField> never;
  if (parsed.job && knows_types()) never = can_never_run(*parsed.job);

  if (!parsed.job || never || !knows_types()) {
    // Look the job up before refusing it: a repeat of an accepted job must get 200, whatever its
    // body says now and however little this node knows about machines.
    const auto bad = parsed.job ? never : parsed.bad;
    const int status = parsed.job ? 422 : 400;
    look_up(now, id,
            [this, request, id, bad, status, known = replica_.knows(id)](Ms t, const Found& f) {
              if (f.failed) return refuse(request, Refusal::store);
              if (f.unfinished || f.outcome) return respond_known(t, request, id, f);
              if (!bad) return refuse(request, Refusal::types);
              if (!may_be_new(t, request, known)) return;
              deny(request, status, *bad);
            });
    return;
  }
  if (const auto record = known_outcome(id)) {
    Found f;
    f.outcome = *record;
    return respond_known(now, request, id, f);
  }

  // Its first tasks count as launched from the start, which saves a job's leader one write in four
  // or more. A mark may be too high, never too low: where no allocation log can be believed, they
  // are unknown though they may never have been launched.
  const std::uint32_t launch_watermark = std::min(parsed.job->tasks, kInitialWatermark);
  wire::UnfinishedJob record{std::move(*parsed.job), wall_ms, false, launch_watermark};
  const std::string value = wire::encode(record);
  if (value.size() + wire::kRecordGrowth > platform_.store.value_bytes())
    return deny(request, 400, {"", "description too large"});
  // A process that has just started and has heard nobody may stand before a store that has lost
  // this very job's end.
  if (!heard_(now)) return refuse(request, Refusal::again);
  if (!record.job.awaits.empty()) return accept_awaiting(now, request, id, record);
  accept(now, request, id, record, true);
}

void JobApi::accept_awaiting(Ms now, std::uint64_t request, const std::string& id,
                             const wire::UnfinishedJob& record) {
  std::vector<std::string> unknown;
  for (const auto& name : record.job.awaits)
    if (!replica_.knows(name)) unknown.push_back(name);
  const bool allowed = !may_await || may_await();
  if (allowed && unknown.empty()) return look_up_awaited(now, request, id, record, {});
  // A repeat of an accepted job is answered whatever it awaits.
  look_up(now, id, [this, request, id, record, unknown, allowed](Ms t, const Found& f) {
    if (f.failed) return refuse(request, Refusal::store);
    if (f.unfinished || f.outcome) return respond_known(t, request, id, f);
    if (!allowed) return refuse(request, Refusal::level);
    look_up_awaited(t, request, id, record, unknown);
  });
}

// One of `unknown` after the other; then the job is accepted, cancelled from the start where one
// that it awaits is.
void JobApi::look_up_awaited(Ms now, std::uint64_t request, const std::string& id,
                             const wire::UnfinishedJob& record, std::vector<std::string> unknown) {
  if (!unknown.empty()) {
    const auto name = unknown.back();
    unknown.pop_back();
    return look_up(now, name,
                   [this, request, id, record, name, unknown = std::move(unknown),
                    known = replica_.knows(name)](Ms t, const Found& f) {
                     if (f.failed) return refuse(request, Refusal::store);
                     if (f.unfinished && f.unfinished->job.form == wire::Form::service)
                       return deny(request, 422, never_done(name));
                     if (f.unfinished || f.outcome)
                       return look_up_awaited(t, request, id, record, unknown);
                     if (may_be_new(t, request, known))
                       deny(request, 422, {"Awaits", name + " was never accepted"});
                   });
  }
  auto accepted = record;
  for (const auto& name : record.job.awaits) {
    if (const auto bad = cannot_be_awaited(name)) return deny(request, 422, *bad);
    accepted.cancelled = accepted.cancelled || is_cancelled(name);
  }
  accept(now, request, id, accepted, true);
}

std::optional<wire::BadField> JobApi::cannot_be_awaited(const std::string& id) const {
  const auto it = replica_.unfinished().find(id);
  if (it == replica_.unfinished().end()) return std::nullopt;
  const auto record =
      wire::decode_unfinished_job(nlohmann::json::parse(it->second.record, nullptr, false));
  if (!record || record->job.form != wire::Form::service) return std::nullopt;
  return never_done(id);
}

bool JobApi::is_cancelled(const std::string& id) const {
  const auto final = known_outcome(id);
  return final ? final->cancelled : replica_.is_cancelled(id);
}

// Done means that all that it needed was done: nothing before it has to be looked at.
void JobApi::search_needs(Ms now, const std::shared_ptr<NeedsSearch>& search, const OnNeeds& done) {
  while (!search->open.empty()) {
    const auto name = std::move(search->open.back());
    search->open.pop_back();
    if (!search->seen.insert(name).second) continue;
    if (is_cancelled(name)) return done(now, Needs::something_cancelled);
    if (known_outcome(name)) continue;
    if (const auto* job = view_.find(name)) {
      if (job->cancelled) return done(now, Needs::something_cancelled);
      search->open.insert(search->open.end(), job->awaits.begin(), job->awaits.end());
      continue;
    }
    return look_up(now, name, [this, search, done](Ms t, const Found& f) {
      if (f.failed || (!f.unfinished && !f.outcome)) return done(t, Needs::unknown);
      if (f.outcome ? f.outcome->cancelled : f.unfinished->cancelled)
        return done(t, Needs::something_cancelled);
      if (f.unfinished)
        search->open.insert(search->open.end(), f.unfinished->job.awaits.begin(),
                            f.unfinished->job.awaits.end());
      search_needs(t, search, done);
    });
  }
  done(now, Needs::nothing_cancelled);
}

void JobApi::unless_cancelled_with(Ms now, std::uint64_t request, const std::string& id,
                                   const std::vector<std::string>& awaits,
                                   std::function<void(Ms now)> otherwise) {
  if (awaits.empty()) return otherwise(now);
  const auto search = std::make_shared<NeedsSearch>();
  search->open = awaits;
  search_needs(now, search,
               [this, request, id, otherwise = std::move(otherwise)](Ms t, Needs needs) {
                 if (needs == Needs::unknown) return refuse(request, Refusal::store);
                 if (needs == Needs::something_cancelled) return cancel(t, request, id);
                 otherwise(t);
               });
}

void JobApi::respond_to_repeat(Ms now, std::uint64_t request, const std::string& id) {
  if (store_.unreachable(now)) return refuse(request, Refusal::store);
  view_.ask(now, id, [this, request, id](Ms t, bool known, const UnfinishedJobCache::Job* job) {
    if (!known) return refuse(request, Refusal::store);
    if (job != nullptr) {
      if (job->cancelled) {
        remember_outcome(id, {true, 0});
        return respond_cancelled(t, request, id, wire::job_status(id, wire::kCancelled));
      }
      const auto status = job->launched ? wire::kRunning : wire::kPending;
      return unless_cancelled_with(t, request, id, job->awaits, [this, request, id, status](Ms) {
        out_.reply(request, 200, wire::job_status(id, status));
      });
    }
    look_up(t, id, [this, request, id](Ms t2, const Found& f) {
      if (f.failed) return refuse(request, Refusal::store);
      if (f.unfinished || f.outcome) return respond_known(t2, request, id, f);
      // Neither unfinished nor over by the store, and known all the same.
      if (on_contradiction) on_contradiction(t2);
      refuse(request, Refusal::level);
    });
  });
}

void JobApi::accept(Ms now, std::uint64_t request, const std::string& id,
                    const wire::UnfinishedJob& record, bool again) {
  if (!record.job.awaits.empty() && may_await && !may_await())
    return refuse(request, Refusal::level);
  wire::Txn txn;
  txn.if_version(unfinished_key(id), 0)
      .if_version(outcome_key(id), 0)
      .put(unfinished_key(id), wire::encode(record));
  const bool known = replica_.knows(id);
  store_.commit(now, Rank::user, txn,
                [this, request, id, record, again, known](Ms t, int status, std::string_view) {
                  if (status == 200) {
                    // Neither unfinished nor over by the store, and known all the same.
                    if (known && on_contradiction) {
                      on_contradiction(t);
                      return refuse(request, Refusal::level);
                    }
                    publish_unfinished(id, record);
                    if (record.cancelled)
                      return respond_cancelled(t, request, id,
                                               wire::job_status(id, wire::kCancelled));
                    return out_.reply(request, 201, wire::job_status(id, wire::kPending));
                  }
                  // Without an answer the job may have been stored or may be later: the user's
                  // retry, under the same id, finds out.
                  if (status != 409) return refuse(request, Refusal::store);
                  look_up(t, id, [this, request, id, record, again](Ms t2, const Found& f) {
                    if (f.unfinished || f.outcome) return respond_known(t2, request, id, f);
                    // The record was formed under a level that has passed; the new one has been
                    // read meanwhile.
                    if (again && !f.failed) return accept(t2, request, id, record, false);
                    refuse(request, Refusal::again);
                  });
                });
}

// docs/safety.md, "Polls that share a read", says why no answer is older than one given elsewhere.
void JobApi::status(Ms now, std::uint64_t request, const std::string& id) {
  if (!wire::valid_job_id(id)) return out_.reply(request, 404, wire::error_body("no such job"));
  if (const auto record = known_outcome(id)) return respond_outcome(now, request, id, *record);
  if (replica_.is_cancelled(id)) return respond_outcome(now, request, id, {true, 0});
  if (store_.unreachable(now)) return refuse(request, Refusal::store);
  if (view_.waiting() >= kPollsMost) return refuse(request, Refusal::busy, 429);
  view_.ask(
      now, id,
      [this, request, id, before = replica_.knows(id)](Ms t, bool known,
                                                       const UnfinishedJobCache::Job* job) {
        if (!known) return refuse(request, Refusal::store);
        if (job == nullptr) return look_up_outcome(t, request, id, before);
        if (job->cancelled) {
          remember_outcome(id, {true, 0});
          return respond_cancelled(t, request, id, wire::job_answer(id, wire::kCancelled, 0, 0));
        }
        unless_cancelled_with(t, request, id, job->awaits,
                              [this, request, id, may_have_launched = job->may_have_launched,
                               launched = job->launched](Ms t2) {
                                respond_unfinished(t2, request, id, may_have_launched, launched);
                              });
      });
}

void JobApi::respond_unfinished(Ms now, std::uint64_t request, const std::string& id,
                                bool may_have_launched, bool launched) {
  if (!may_have_launched)
    return out_.reply(request, 200, wire::job_answer(id, wire::kPending, 0, 0));
  ask_(now, id, [this, request, id, launched](Ms, std::optional<Counts> c) {
    const bool idle = c ? c->running == 0 : !launched;
    out_.reply(request, 200,
               wire::job_answer(id, idle ? wire::kPending : wire::kRunning, c ? c->done : 0,
                                c ? c->running : 0));
  });
}

void JobApi::respond_outcome(Ms now, std::uint64_t request, const std::string& id,
                             const wire::JobOutcome& record) {
  auto body = wire::job_answer(id, word(record), record.done, 0);
  if (record.cancelled) return respond_cancelled(now, request, id, std::move(body));
  out_.reply(request, 200, std::move(body));
}

// Not among the unfinished: over, or never submitted. Records only move from live/ to over/.
void JobApi::look_up_outcome(Ms now, std::uint64_t request, const std::string& id, bool known) {
  // Polls that ask the same share the question, and what was asked is read even if whoever asked
  // has given up: the next poll finds the answer here. Refused at the door by how many wait, one
  // job's polls could lose each time.
  if (outcome_requests_.size() >= kPollsMost && !outcome_requests_.contains(id))
    return refuse(request, Refusal::busy, 429);
  auto& requests = outcome_requests_[id];
  requests.push_back(request);
  if (requests.size() > 1) return;
  store_.get(now, Rank::low, outcome_key(id),
             [this, id, known](Ms t, int status, std::string_view body) {
               const auto item = status == 200 ? wire::parse_item(body) : std::nullopt;
               const auto record = item ? wire::decode_job_outcome(item->value) : std::nullopt;
               if (record) {
                 remember_outcome(id, *record);
                 publish_outcome(id, *record);
               }
               const auto waiting = outcome_requests_.extract(id);
               if (waiting.empty()) return;
               for (const auto each : waiting.mapped()) {
                 if (status == 404)
                   unknown(t, each, known);
                 else if (record)
                   respond_outcome(t, each, id, *record);
                 else
                   refuse(each, Refusal::store);
               }
             });
}

void JobApi::cancel(Ms now, std::uint64_t request, const std::string& id, int tries) {
  if (!wire::valid_job_id(id)) return out_.reply(request, 404, wire::error_body("no such job"));
  if (tries >= kCancelTries) return refuse(request, Refusal::again);
  if (store_.unreachable(now)) return refuse(request, Refusal::store);
  look_up(now, id, [this, request, id, tries, known = replica_.knows(id)](Ms t, const Found& f) {
    if (f.failed) return refuse(request, Refusal::store);
    if (!f.unfinished && !f.outcome) return unknown(t, request, known);
    if (f.outcome || f.unfinished->cancelled) return respond_known(t, request, id, f);
    auto record = *f.unfinished;
    record.cancelled = true;
    wire::Txn txn;
    // Cancelled and done race by the record's version: one wins, and the other answer follows it.
    std::vector<std::string> known_type_names;
    for (const auto& type : types_) known_type_names.push_back(type.name);
    txn.if_version(unfinished_key(id), f.version)
        .put(unfinished_key(id),
             wire::encode_within(record, platform_.store.value_bytes(), known_type_names));
    store_.commit(t, Rank::user, txn,
                  [this, request, id, tries, record](Ms t2, int status, std::string_view) {
                    if (status == 200) {
                      publish_unfinished(id, record);
                      remember_outcome(id, {true, 0});
                      return respond_cancelled(t2, request, id,
                                               wire::job_status(id, wire::kCancelled));
                    }
                    if (status == 409) return cancel(t2, request, id, tries + 1);
                    refuse(request, Refusal::store);
                  });
  });
}

}  // namespace hitchfront::core
