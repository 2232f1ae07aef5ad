#include "core/front.hpp"

#include <algorithm>

#include "settings/constants.hpp"

namespace hitchfront::core {
using namespace settings;
using Rank = StoreClient::Rank;
using telemetry::Refusal;
namespace {
constexpr int kCancelTries = 8;  // the leader writes a job's record a few times a second at most

std::string_view word(const wire::OverRecord& r) {
  return r.withdrawn ? wire::kWithdrawn : wire::kDone;
}

wire::BadField never_done(const std::string& service) {
  return {"Awaits", service + " is a service, which is never done"};
}
}  // namespace

Front::Front(Outbox& out, StoreClient& store, const Platform& platform, AskCounts ask,
             rebuild::Copy& copy, std::function<bool(Ms)> sure, std::function<bool(Ms)> heard)
    : out_(out),
      store_(store),
      platform_(platform),
      ask_(std::move(ask)),
      view_(store),
      copy_(copy),
      sure_(std::move(sure)),
      heard_(std::move(heard)) {
  view_.on_record = [this](const std::string& job, const nlohmann::json& value,
                           const wire::LiveRecord& record, std::uint64_t stamp) {
    copy_.live(job, value.dump(), record.withdrawn, record.mark);
    if (on_read) on_read(live_key(job), stamp);
  };
}

void Front::told_live(const std::string& id, const wire::LiveRecord& record) {
  const auto text = wire::encode(record);
  copy_.live(id, text, record.withdrawn, record.mark);
  if (!on_told) return;
  rebuild::Copy one(1);
  one.live(id, text, record.withdrawn, record.mark);
  on_told(one);
}

void Front::told_final(const std::string& id, const wire::OverRecord& record) {
  if (copy_.final_of(id)) return;
  copy_.over(id, record);
  if (!on_told) return;
  rebuild::Copy one(1);
  one.over(id, record);
  on_told(one);
}

// Refuses where it may not be.
bool Front::may_be_new(Ms now, std::uint64_t request, bool known) {
  if (known && on_contradiction) on_contradiction(now);
  if (!known && sure_(now)) return true;
  refuse(request, Refusal::level);
  return false;
}

// No node may call a job unknown that was accepted: what this one holds in its copy was, and a
// process that has just started asks the others first whether the store has forgotten something.
void Front::unknown(Ms now, std::uint64_t request, bool known) {
  if (may_be_new(now, request, known)) out_.reply(request, 404, wire::error_body("no such job"));
}

void Front::refuse(std::uint64_t request, Refusal why, int status) {
  const char* text =
      why == Refusal::busy    ? "busy"
      : why == Refusal::store ? "the store can't be asked"
      : why == Refusal::types ? "machine types not known yet"
      : why == Refusal::promised
          ? "a leader that can't read the store has to know of the cancellation first"
      : why == Refusal::level
          ? "the level of the stored state is not known yet, or not to this version"
          : "try again";
  out_.log(Event::request_refused, status, text);
  out_.figures().add(telemetry::Count::refusals, why);
  out_.reply(request, status, wire::error_body(text), kRetryAfterS);
}

void Front::deny(std::uint64_t request, int status, const wire::BadField& bad) {
  out_.figures().add(telemetry::Count::refusals,
                     status == 422 ? Refusal::never : Refusal::malformed);
  out_.reply(request, status, wire::error_body(bad.reason, bad.field));
}

void Front::remember(const std::string& id, wire::OverRecord record) {
  if (!final_.emplace(id, record).second) return;
  final_order_.push_back(id);
  if (final_order_.size() > kFinalCache) {
    final_.erase(final_order_.front());
    final_order_.pop_front();
  }
}

std::optional<wire::OverRecord> Front::known_final(const std::string& id) const {
  const auto it = final_.find(id);
  return it != final_.end() ? std::optional(it->second) : copy_.final_of(id);
}

// live/ first, then over/: records only move that way, so a job can't slip through between the two.
void Front::look_up(Ms now, const std::string& id, std::function<void(Ms, const Found&)> done) {
  if (const auto record = known_final(id)) {
    Found f;
    f.over = *record;
    return done(now, f);
  }
  store_.get(now, Rank::user, live_key(id),
             [this, id, done](Ms t, int status, std::string_view body) {
               Found f;
               if (status == 200) {
                 if (auto item = wire::parse_item(body)) {
                   f.live = wire::decode_live(item->value);
                   f.version = item->version;
                 }
                 f.failed = !f.live;
                 if (f.live && f.live->withdrawn) {
                   remember(id, {true, 0});
                   told_live(id, *f.live);
                 }
                 return done(t, f);
               }
               if (status != 404) {
                 f.failed = true;
                 return done(t, f);
               }
               store_.get(t, Rank::user, over_key(id),
                          [this, id, done](Ms t2, int status2, std::string_view body2) {
                            Found g;
                            if (status2 == 200) {
                              if (auto item = wire::parse_item(body2))
                                g.over = wire::decode_over(item->value);
                              g.failed = !g.over;
                              if (g.over) {
                                remember(id, *g.over);
                                told_final(id, *g.over);
                              }
                            } else if (status2 != 404) {
                              g.failed = true;
                            }
                            done(t2, g);
                          });
             });
}

std::optional<wire::BadField> Front::can_never_run(const wire::Job& job) const {
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

void Front::answer_known(Ms now, std::uint64_t request, const std::string& id, const Found& f) {
  if (f.over ? f.over->withdrawn : f.live->withdrawn)
    return tell_withdrawn(now, request, id, wire::job_status(id, wire::kWithdrawn));
  if (f.over) return out_.reply(request, 200, wire::job_status(id, word(*f.over)));
  const auto status = f.live->mark > kMarkAtOnce ? wire::kRunning : wire::kPending;
  unless_cancelled_with(now, request, id, f.live->job.awaits, [this, request, id, status](Ms) {
    out_.reply(request, 200, wire::job_status(id, status));
  });
}

void Front::tell_withdrawn(Ms now, std::uint64_t request, const std::string& id, std::string body) {
  if (!copy_.final_of(id) && may_tell_withdrawn && !may_tell_withdrawn(now, id))
    return refuse(request, Refusal::promised);
  out_.reply(request, 200, std::move(body));
}

void Front::submit(Ms now, std::int64_t wall_ms, std::uint64_t request, std::string_view body) {
  auto parsed = wire::parse_job(body);
  if (!parsed.job && parsed.known_id.empty()) return deny(request, 400, *parsed.bad);
  const std::string id = parsed.known_id;
  // A repeat of what was accepted is never refused for load: it has no write to wait for.
  if (parsed.job && !final_.contains(id) && copy_.knows(id) && !copy_.final_of(id))
    return known_again(now, request, id);
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
            [this, request, id, bad, status, known = copy_.knows(id)](Ms t, const Found& f) {
              if (f.failed) return refuse(request, Refusal::store);
              if (f.live || f.over) return answer_known(t, request, id, f);
              if (!bad) return refuse(request, Refusal::types);
              if (!may_be_new(t, request, known)) return;
              deny(request, status, *bad);
            });
    return;
  }
  if (const auto record = known_final(id)) {
    Found f;
    f.over = *record;
    return answer_known(now, request, id, f);
  }

  // Its first tasks count as launched from the start, which saves a job's leader one write in four
  // or more. A mark may be too high, never too low: where no roster can be believed, they are in
  // doubt though they may never have been launched.
  const std::uint32_t mark = std::min(parsed.job->tasks, kMarkAtOnce);
  wire::LiveRecord record{std::move(*parsed.job), wall_ms, false, mark};
  const std::string value = wire::encode(record);
  if (value.size() + wire::kRecordGrowth > platform_.store.value_bytes())
    return deny(request, 400, {"", "description too large"});
  // A process that has just started and has heard nobody may stand before a store that has lost
  // this very job's end.
  if (!heard_(now)) return refuse(request, Refusal::again);
  if (!record.job.awaits.empty()) return accept_awaiting(now, request, id, record);
  accept(now, request, id, record, true);
}

void Front::accept_awaiting(Ms now, std::uint64_t request, const std::string& id,
                            const wire::LiveRecord& record) {
  std::vector<std::string> unknown;
  for (const auto& name : record.job.awaits)
    if (!copy_.knows(name)) unknown.push_back(name);
  const bool allowed = !may_await || may_await();
  if (allowed && unknown.empty()) return look_up_awaited(now, request, id, record, {});
  // A repeat of an accepted job is answered whatever it awaits.
  look_up(now, id, [this, request, id, record, unknown, allowed](Ms t, const Found& f) {
    if (f.failed) return refuse(request, Refusal::store);
    if (f.live || f.over) return answer_known(t, request, id, f);
    if (!allowed) return refuse(request, Refusal::level);
    look_up_awaited(t, request, id, record, unknown);
  });
}

// One of `unknown` after the other; then the job is accepted, cancelled from the start where one
// that it awaits is.
void Front::look_up_awaited(Ms now, std::uint64_t request, const std::string& id,
                            const wire::LiveRecord& record, std::vector<std::string> unknown) {
  if (!unknown.empty()) {
    const auto name = unknown.back();
    unknown.pop_back();
    return look_up(now, name,
                   [this, request, id, record, name, unknown = std::move(unknown),
                    known = copy_.knows(name)](Ms t, const Found& f) {
                     if (f.failed) return refuse(request, Refusal::store);
                     if (f.live && f.live->job.form == wire::Form::service)
                       return deny(request, 422, never_done(name));
                     if (f.live || f.over) return look_up_awaited(t, request, id, record, unknown);
                     if (may_be_new(t, request, known))
                       deny(request, 422, {"Awaits", name + " was never accepted"});
                   });
  }
  auto accepted = record;
  for (const auto& name : record.job.awaits) {
    if (const auto bad = cannot_be_awaited(name)) return deny(request, 422, *bad);
    accepted.withdrawn = accepted.withdrawn || is_cancelled(name);
  }
  accept(now, request, id, accepted, true);
}

std::optional<wire::BadField> Front::cannot_be_awaited(const std::string& id) const {
  const auto it = copy_.unfinished().find(id);
  if (it == copy_.unfinished().end()) return std::nullopt;
  const auto record = wire::decode_live(nlohmann::json::parse(it->second.record, nullptr, false));
  if (!record || record->job.form != wire::Form::service) return std::nullopt;
  return never_done(id);
}

bool Front::is_cancelled(const std::string& id) const {
  const auto final = known_final(id);
  return final ? final->withdrawn : copy_.is_withdrawn(id);
}

// Done means that all that it needed was done: nothing before it has to be looked at.
void Front::search_needs(Ms now, const std::shared_ptr<NeedsSearch>& search, const OnNeeds& done) {
  while (!search->open.empty()) {
    const auto name = std::move(search->open.back());
    search->open.pop_back();
    if (!search->seen.insert(name).second) continue;
    if (is_cancelled(name)) return done(now, Needs::something_cancelled);
    if (known_final(name)) continue;
    if (const auto* job = view_.find(name)) {
      if (job->withdrawn) return done(now, Needs::something_cancelled);
      search->open.insert(search->open.end(), job->awaits.begin(), job->awaits.end());
      continue;
    }
    return look_up(now, name, [this, search, done](Ms t, const Found& f) {
      if (f.failed || (!f.live && !f.over)) return done(t, Needs::unknown);
      if (f.over ? f.over->withdrawn : f.live->withdrawn)
        return done(t, Needs::something_cancelled);
      if (f.live)
        search->open.insert(search->open.end(), f.live->job.awaits.begin(),
                            f.live->job.awaits.end());
      search_needs(t, search, done);
    });
  }
  done(now, Needs::nothing_cancelled);
}

void Front::unless_cancelled_with(Ms now, std::uint64_t request, const std::string& id,
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

void Front::known_again(Ms now, std::uint64_t request, const std::string& id) {
  if (store_.unreachable(now)) return refuse(request, Refusal::store);
  view_.ask(now, id, [this, request, id](Ms t, bool known, const LiveView::Job* job) {
    if (!known) return refuse(request, Refusal::store);
    if (job != nullptr) {
      if (job->withdrawn) {
        remember(id, {true, 0});
        return tell_withdrawn(t, request, id, wire::job_status(id, wire::kWithdrawn));
      }
      const auto status = job->launched ? wire::kRunning : wire::kPending;
      return unless_cancelled_with(t, request, id, job->awaits, [this, request, id, status](Ms) {
        out_.reply(request, 200, wire::job_status(id, status));
      });
    }
    look_up(t, id, [this, request, id](Ms t2, const Found& f) {
      if (f.failed) return refuse(request, Refusal::store);
      if (f.live || f.over) return answer_known(t2, request, id, f);
      // Neither unfinished nor over by the store, and known all the same.
      if (on_contradiction) on_contradiction(t2);
      refuse(request, Refusal::level);
    });
  });
}

void Front::accept(Ms now, std::uint64_t request, const std::string& id,
                   const wire::LiveRecord& record, bool again) {
  if (!record.job.awaits.empty() && may_await && !may_await())
    return refuse(request, Refusal::level);
  wire::Txn txn;
  txn.if_version(live_key(id), 0)
      .if_version(over_key(id), 0)
      .put(live_key(id), wire::encode(record));
  const bool known = copy_.knows(id);
  store_.commit(now, Rank::user, txn,
                [this, request, id, record, again, known](Ms t, int status, std::string_view) {
                  if (status == 200) {
                    // Neither unfinished nor over by the store, and known all the same.
                    if (known && on_contradiction) {
                      on_contradiction(t);
                      return refuse(request, Refusal::level);
                    }
                    told_live(id, record);
                    if (record.withdrawn)
                      return tell_withdrawn(t, request, id, wire::job_status(id, wire::kWithdrawn));
                    return out_.reply(request, 201, wire::job_status(id, wire::kPending));
                  }
                  // Without an answer the job may have been stored or may be later: the user's
                  // retry, under the same id, finds out.
                  if (status != 409) return refuse(request, Refusal::store);
                  look_up(t, id, [this, request, id, record, again](Ms t2, const Found& f) {
                    if (f.live || f.over) return answer_known(t2, request, id, f);
                    // The record was formed under a level that has passed; the new one has been
                    // read meanwhile.
                    if (again && !f.failed) return accept(t2, request, id, record, false);
                    refuse(request, Refusal::again);
                  });
                });
}

// docs/safety.md, "Polls that share a read", says why no answer is older than one given elsewhere.
void Front::status(Ms now, std::uint64_t request, const std::string& id) {
  if (!wire::valid_job_id(id)) return out_.reply(request, 404, wire::error_body("no such job"));
  if (const auto record = known_final(id)) return tell_final(now, request, id, *record);
  if (copy_.is_withdrawn(id)) return tell_final(now, request, id, {true, 0});
  if (store_.unreachable(now)) return refuse(request, Refusal::store);
  if (view_.waiting() >= kPollsMost) return refuse(request, Refusal::busy, 429);
  view_.ask(
      now, id,
      [this, request, id, before = copy_.knows(id)](Ms t, bool known, const LiveView::Job* job) {
        if (!known) return refuse(request, Refusal::store);
        if (job == nullptr) return final_status(t, request, id, before);
        if (job->withdrawn) {
          remember(id, {true, 0});
          return tell_withdrawn(t, request, id, wire::job_answer(id, wire::kWithdrawn, 0, 0));
        }
        unless_cancelled_with(t, request, id, job->awaits,
                              [this, request, id, marked = job->marked, launched = job->launched](
                                  Ms t2) { tell_unfinished(t2, request, id, marked, launched); });
      });
}

void Front::tell_unfinished(Ms now, std::uint64_t request, const std::string& id, bool marked,
                            bool launched) {
  if (!marked) return out_.reply(request, 200, wire::job_answer(id, wire::kPending, 0, 0));
  ask_(now, id, [this, request, id, launched](Ms, std::optional<Counts> c) {
    const bool idle = c ? c->running == 0 : !launched;
    out_.reply(request, 200,
               wire::job_answer(id, idle ? wire::kPending : wire::kRunning, c ? c->done : 0,
                                c ? c->running : 0));
  });
}

void Front::tell_final(Ms now, std::uint64_t request, const std::string& id,
                       const wire::OverRecord& record) {
  auto body = wire::job_answer(id, word(record), record.done, 0);
  if (record.withdrawn) return tell_withdrawn(now, request, id, std::move(body));
  out_.reply(request, 200, std::move(body));
}

// Not among the unfinished: over, or never submitted. Records only move from live/ to over/.
void Front::final_status(Ms now, std::uint64_t request, const std::string& id, bool known) {
  // Polls that ask the same share the question, and what was asked is read even if whoever asked
  // has given up: the next poll finds the answer here. Refused at the door by how many wait, one
  // job's polls could lose each time.
  if (finals_asked_.size() >= kPollsMost && !finals_asked_.contains(id))
    return refuse(request, Refusal::busy, 429);
  auto& requests = finals_asked_[id];
  requests.push_back(request);
  if (requests.size() > 1) return;
  store_.get(now, Rank::low, over_key(id),
             [this, id, known](Ms t, int status, std::string_view body) {
               const auto item = status == 200 ? wire::parse_item(body) : std::nullopt;
               const auto record = item ? wire::decode_over(item->value) : std::nullopt;
               if (record) {
                 remember(id, *record);
                 told_final(id, *record);
               }
               const auto waiting = finals_asked_.extract(id);
               if (waiting.empty()) return;
               for (const auto each : waiting.mapped()) {
                 if (status == 404)
                   unknown(t, each, known);
                 else if (record)
                   tell_final(t, each, id, *record);
                 else
                   refuse(each, Refusal::store);
               }
             });
}

void Front::cancel(Ms now, std::uint64_t request, const std::string& id, int tries) {
  if (!wire::valid_job_id(id)) return out_.reply(request, 404, wire::error_body("no such job"));
  if (tries >= kCancelTries) return refuse(request, Refusal::again);
  if (store_.unreachable(now)) return refuse(request, Refusal::store);
  look_up(now, id, [this, request, id, tries, known = copy_.knows(id)](Ms t, const Found& f) {
    if (f.failed) return refuse(request, Refusal::store);
    if (!f.live && !f.over) return unknown(t, request, known);
    if (f.over || f.live->withdrawn) return answer_known(t, request, id, f);
    auto record = *f.live;
    record.withdrawn = true;
    wire::Txn txn;
    // Cancelled and done race by the record's version: one wins, and the other answer follows it.
    std::vector<std::string> known_types;
    for (const auto& type : types_) known_types.push_back(type.name);
    txn.if_version(live_key(id), f.version)
        .put(live_key(id), wire::encode_within(record, platform_.store.value_bytes(), known_types));
    store_.commit(t, Rank::user, txn,
                  [this, request, id, tries, record](Ms t2, int status, std::string_view) {
                    if (status == 200) {
                      told_live(id, record);
                      remember(id, {true, 0});
                      return tell_withdrawn(t2, request, id,
                                            wire::job_status(id, wire::kWithdrawn));
                    }
                    if (status == 409) return cancel(t2, request, id, tries + 1);
                    refuse(request, Refusal::store);
                  });
  });
}

}  // namespace hitchfront::core
