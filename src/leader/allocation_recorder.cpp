#include "leader/allocation_recorder.hpp"

#include <algorithm>
#include <cstdlib>
#include <string_view>

#include "settings/constants.hpp"
#include "wire/allocation.hpp"
#include "wire/election_record.hpp"

namespace hitchfront::core {
using namespace settings;
using Rank = StoreClient::Rank;
namespace {

std::uint32_t chunk_of(const std::string& key) {
  const auto digits = key.c_str() + wire::kAllocationPrefix.size();
  return static_cast<std::uint32_t>(std::strtoul(digits, nullptr, 10));
}

allocation::Limits limits(const Platform& platform) {
  const auto chunk_share = static_cast<std::size_t>(
      static_cast<double>(platform.store.value_bytes()) * kMaxAllocationChunkShare);
  const double leader_share = platform.nodes > 1 ? kLeaderRateShare : 1;
  return {std::min(kMaxAllocationChunkBytes, chunk_share), kMaxAllocationBatchBytes,
          platform.store.transaction_changes,
          std::max(1.0, platform.store.writes_per_s * kRateLimitShare * leader_share *
                            kAllocationWriteShare),
          kMaxAllocationWriteDelayMs};
}

}  // namespace

AllocationRecorder::AllocationRecorder(LeaderContext& context, LeaderState& state,
                                       AllocationListener& listener)
    : context_(context),
      state_(state),
      listener_(listener),
      enabled_(context.operator_settings.get("roster", {}) != 0),
      log_(limits(context.platform)) {}

// --- loading ---

void AllocationRecorder::load(Ms now, const OnLoaded& on_loaded) {
  loaded_chunks_.clear();
  if (!enabled_) return on_loaded(now, {});
  load_page(now, "", on_loaded);
}

void AllocationRecorder::load_page(Ms now, const std::string& after, const OnLoaded& on_loaded) {
  context_.store.range(
      now, Rank::leader, wire::kAllocationPrefix, after,
      context_.guarded([this, after, on_loaded](Ms received_at, int status, std::string_view body) {
        const auto page = status == 200 ? wire::parse_page(body) : std::nullopt;
        if (!page) return load_page(received_at, after, on_loaded);
        for (const auto& item : page->items)
          loaded_chunks_.push_back(parse_chunk(received_at, item));
        if (page->more && !page->items.empty())
          return load_page(received_at, page->items.back().key, on_loaded);
        on_loaded(received_at, std::exchange(loaded_chunks_, {}));
      }));
}

AllocationRecorder::StoredChunk AllocationRecorder::parse_chunk(Ms now, const wire::Item& item) {
  auto machines = item.value.is_string()
                      ? wire::decode_allocations(item.value.get_ref<const std::string&>())
                      : std::nullopt;
  if (!machines) {
    // The chunk's contents are lost, so the whole log is untrusted. That has to be stored before
    // any chunk is written.
    context_.log(Event::allocation_unreadable, item.key);
    context_.election.mark_allocation_log_incomplete(now);
    machines.emplace();
  }
  return {chunk_of(item.key), item.version, std::move(*machines)};
}

void AllocationRecorder::adopt(const StoredChunk& chunk, bool trusted) {
  allocation::MachineNames names;
  if (trusted)
    for (const auto& machine : chunk.machines) names.insert(machine.name);
  log_.load(chunk.chunk, chunk.version, names);
}

void AllocationRecorder::keep_unknown_type(const wire::MachineAllocation& machine) {
  unknown_types_[machine.name] = machine;
}

void AllocationRecorder::forget_unknown_types(Ms now) {
  for (const auto& [name, machine] : unknown_types_)
    if (!state_.machines.contains(name)) log_.remove(now, name);
  unknown_types_.clear();
}

// --- changes ---

void AllocationRecorder::add(Ms now, const std::string& machine) {
  if (enabled_) log_.add(now, machine);
}
void AllocationRecorder::remove(Ms now, const std::string& machine) {
  if (enabled_) log_.remove(now, machine);
}
void AllocationRecorder::mark_changed(Ms now, const std::string& machine) {
  if (enabled_) log_.mark_changed(now, machine);
}
void AllocationRecorder::mark_urgent(Ms now, const std::string& machine) {
  if (enabled_) log_.mark_urgent(now, machine);
}

// --- writing ---

std::string AllocationRecorder::encode_chunk(const allocation::MachineNames& names,
                                             std::uint64_t batch) {
  wire::AllocationWriter writer;
  for (const auto& name : names) {
    auto* machine = state_.machines.find(name);
    const auto unknown_type = unknown_types_.find(name);
    if (machine != nullptr) {
      encode_machine(writer, *machine, batch);
    } else if (unknown_type != unknown_types_.end()) {
      const auto& stored = unknown_type->second;
      writer.machine(name, stored.type, stored.zone, stored.spot, stored.up, stored.billed_since_s);
    } else {
      continue;
    }
    // Tasks stored before the machine's type was known may be running until its lease has expired.
    if (unknown_type == unknown_types_.end()) continue;
    for (const auto& group : unknown_type->second.tasks)
      if (const auto* job = state_.jobs.find(group.job))
        writer.tasks(job->index, group.job, group.tasks);
  }
  return writer.finish();
}

void AllocationRecorder::encode_machine(wire::AllocationWriter& writer, Machine& machine,
                                        std::uint64_t batch) {
  const auto& catalog = state_.catalog;
  writer.machine(machine.name, catalog.type(machine.type).name,
                 machine.zone < 0 ? std::string() : catalog.zone(machine.zone), machine.spot,
                 machine.up || machine.recovered,
                 (machine.billed_since + context_.wall_minus_steady_ms) / 1000);
  std::vector<std::uint32_t> tasks;
  for (auto it = machine.tasks.begin(); it != machine.tasks.end();) {
    const auto job = it->first.job;
    const auto& id = it->second.job->spec.id;
    tasks.clear();
    for (; it != machine.tasks.end() && it->first.job == job; ++it) {
      auto& placement = it->second;
      tasks.push_back(it->first.task);
      if (placement.stage == PlacementStage::assigned && !placement.recorded)
        placement.recorded_in_batch = batch;
    }
    writer.tasks(job, id, tasks);
  }
}

void AllocationRecorder::write(Ms now) {
  if (!enabled_ || !state_.loaded || !context_.election.leading() ||
      !context_.election.allocation_log_writable())
    return;
  reread_chunks(now);
  const double write_rate = context_.store.write_rate();
  log_.set_rate(std::max(1.0, write_rate * kAllocationWriteShare));
  listener_.on_write_rate(write_rate);
  while (auto batch =
             log_.next(now, [this](const allocation::MachineNames& names, std::uint64_t number) {
               return encode_chunk(names, number);
             }))
    commit(now, std::move(*batch));
}

void AllocationRecorder::commit(Ms now, allocation::AllocationLog::Batch batch) {
  wire::Txn txn;
  txn.if_version(wire::kLeaderKey, context_.leader_key_version);
  for (const auto& write : batch.writes) {
    const auto key = wire::allocation_key(write.chunk);
    txn.if_version(key, write.version);
    if (write.value.empty())
      txn.drop(key);
    else
      txn.put_text(key, write.value);
    context_.metrics().add(telemetry::Count::allocation_writes);
    context_.metrics().add(telemetry::Count::allocation_bytes,
                           static_cast<double>(write.value.size()));
  }
  // The highest rank, because launches wait for this write. The log limits its own rate.
  context_.store.commit(
      now, Rank::lease, txn,
      context_.guarded(
          [this, batch = std::move(batch)](Ms received_at, int status, std::string_view body) {
            if (const auto revision = status == 200 ? wire::parse_revision(body) : std::nullopt) {
              log_.stored(batch, *revision);
              on_stored(received_at, batch);
              return write(received_at);
            }
            // Rejected, or the result is unknown: the write may even be applied later. The chunks'
            // stored versions are read before they are written again.
            for (const auto& write : batch.writes)
              reread_at_[write.chunk] = received_at + kStoreRetryDelayMs;
          }));
}

void AllocationRecorder::on_stored(Ms now, const allocation::AllocationLog::Batch& batch) {
  for (const auto& write : batch.writes)
    for (const auto& name : log_.machines(write.chunk)) {
      auto* machine = state_.machines.find(name);
      if (machine == nullptr || machine->assigned == 0) continue;
      mark_recorded(now, *machine, batch.number);
      listener_.on_launches_recorded(now, *machine);
    }
  mark_complete_if_stored(now);
}

void AllocationRecorder::mark_recorded(Ms now, Machine& machine, std::uint64_t batch) {
  for (auto& [key, placement] : machine.tasks) {
    if (placement.recorded_in_batch != batch || placement.recorded) continue;
    placement.recorded = true;
    context_.metrics().observe(telemetry::Histogram::allocation_log_seconds,
                               static_cast<double>(now - placement.placed_at) / 1000);
  }
}

void AllocationRecorder::rewrite_as_complete(Ms now) {
  complete_after_batch_ = log_.last_batch();
  log_.mark_all_changed(now);
}

void AllocationRecorder::mark_complete_if_stored(Ms now) {
  if (complete_after_batch_ == 0 || marking_complete_ ||
      !log_.all_stored_after(complete_after_batch_))
    return;
  marking_complete_ = true;
  context_.election.mark_allocation_log_complete(
      now, [this, alive = std::weak_ptr<int>(context_.alive)](Ms, bool stored) {
        if (!alive.lock()) return;
        marking_complete_ = false;
        if (!stored) return;  // retried after the next batch
        complete_after_batch_ = 0;
        context_.log(Event::allocation_log_complete, context_.term);
      });
}

void AllocationRecorder::reread_chunks(Ms now) {
  for (auto it = reread_at_.begin(); it != reread_at_.end();) {
    if (now < it->second) {
      ++it;
      continue;
    }
    const auto chunk = it->first;
    it = reread_at_.erase(it);
    context_.store.get(
        now, Rank::leader, wire::allocation_key(chunk),
        context_.guarded([this, chunk](Ms received_at, int status, std::string_view body) {
          const auto item = status == 200 ? wire::parse_item(body) : std::nullopt;
          if (item || status == 404)
            log_.reread(received_at, chunk, item ? item->version : 0);
          else
            reread_at_[chunk] = received_at + kStoreRetryDelayMs;
        }));
  }
}

}  // namespace hitchfront::core
