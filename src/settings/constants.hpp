// Constants of the service that are neither limits of the protocol (wire/) nor settings of a
// deployment (settings/platform.hpp, settings/operator_settings.hpp). A suffix gives the unit; a
// share is a fraction of 1.
#pragma once
#include <cstddef>
#include <cstdint>

namespace hitchfront::settings {

// --- clocks ---
// Relative drift between two steady clocks (PROTOCOL).
inline constexpr double kMaxClockDriftShare = 0.0005;
// Added to every wait for another node's lease to expire: covers the tick interval and the delay
// with which the store expires leases.
inline constexpr std::int64_t kLeaseExpiryMarginMs = 250;
inline constexpr std::int64_t kTickIntervalMs = 100;

// --- leader election ---
// Outlasts a few lost renewals. After a crash, workers still have time to find the next leader:
// their leases are longer.
inline constexpr std::int64_t kLeaderLeaseTtlMs = 5000;
inline constexpr std::int64_t kLeaderLeaseRenewalIntervalMs = 1000;
// The leader treats its lease as expired this much early, in addition to clock drift: a response
// may be delayed between the lease check and the wire.
inline constexpr std::int64_t kLeaderLeaseMarginMs = 200;
// Upper bound of the random delay before contending for a vacant leadership.
inline constexpr std::int64_t kMaxElectionDelayMs = 150;

// --- feature levels ---
// The lease of a controller's member announcement.
inline constexpr std::int64_t kMemberLeaseTtlMs = 15000;
inline constexpr std::int64_t kMemberLeaseRenewalIntervalMs = 5000;
// Between two attempts of the leader to advance an upgrade or a migration.
inline constexpr std::int64_t kFeatureLevelStepIntervalMs = 1000;
// Between two reads of the active level by a process that does not support it.
inline constexpr std::int64_t kFeatureLevelPollIntervalMs = 2000;
// The next level is activated only after nothing has blocked it for this long: ten peer heartbeats.
inline constexpr std::int64_t kFeatureLevelSettlePeriodMs = 5000;
// Share of the store's write limit used to rewrite values in the active level's format.
inline constexpr double kMigrationWriteShare = 0.1;

// --- data loss recovery ---
// From this feature level on the stored state has a generation, and data loss is detected and
// recovered.
inline constexpr std::uint32_t kDataLossDetectionFeatureLevel = 3;
// From this feature level on machine types are stored under another key, so that versions without
// feature levels never become healthy.
inline constexpr std::uint32_t kMovedMachineTypesFeatureLevel = 4;
// From this feature level on jobs may have dependencies. Earlier versions would drop them when
// rewriting a job record.
inline constexpr std::uint32_t kDependenciesFeatureLevel = 5;
inline constexpr std::int64_t kDataLossPollIntervalMs = 500;
// Recovery waits no longer than this, ten peer heartbeats, for the other controllers' replicas.
inline constexpr std::int64_t kReplicaGatheringTimeoutMs = 5000;
// Lease ids of former leaders that are never renewed: after a data loss the store may reissue them.
// These are more leaders than can still hold a lease or abstentions.
inline constexpr std::size_t kMaxRetiredLeases = 8;
inline constexpr std::int64_t kDataLossLogIntervalMs = 5000;
// Consecutive write conflicts after which a controller abandons the recovery to another.
inline constexpr std::size_t kMaxRecoveryConflicts = 10;
inline constexpr std::int64_t kReplicaSyncIntervalMs = 1000;
// Some 16 MB.
inline constexpr std::size_t kMaxReplicaOutcomes = 100'000;
// Must stay below kMaxPeerFrameBytes.
inline constexpr std::size_t kMaxReplicaPartBytes = 128 * 1024;
// Keys and values of one transaction; the store accepts 64 KiB.
inline constexpr std::size_t kMaxRecoveryBatchBytes = 40'000;

// --- store ---
inline constexpr std::int64_t kStoreCallTimeoutMs = 1500;
inline constexpr std::int64_t kWatchLongPollTimeoutMs = 10000;
// One read answers all user polls that arrived before it.
inline constexpr std::int64_t kUnfinishedJobReadIntervalMs = 200;
// The leader's job watch is reopened no sooner, so that frequent changes are delivered together.
inline constexpr std::int64_t kMinJobWatchIntervalMs = 100;
// User polls that may wait for a read of the store; further ones are refused. As many as machines
// in a fleet of 6,000: all may come within one read, as after an outage. Some 300 bytes each.
inline constexpr std::size_t kMaxPendingPolls = 6000;
inline constexpr std::int64_t kStoreRetryDelayMs = 300;
// Delay before rebuilding a job write that the store rejected as too large.
inline constexpr std::int64_t kTooLargeWriteRetryDelayMs = 5000;
// Share of the published rate limits of the store and the cloud that this service uses. The rest
// absorbs differences between the token buckets on both sides.
inline constexpr double kRateLimitShare = 0.9;
// The leader's share of the store's request and write rates; the other nodes split the rest evenly.
inline constexpr double kLeaderRateShare = 0.5;
// Failures shorter than this are not logged as an outage.
inline constexpr std::int64_t kStoreDownLogDelayMs = 1000;
// Queued store calls, in seconds of the node's rate, beyond which user requests are refused.
inline constexpr double kMaxStoreQueueS = 1;
// Queued store calls that are accepted at any rate.
inline constexpr std::size_t kMinStoreQueueCapacity = 8;
// A node requests its recent write rate times this factor, so that a rising load is covered.
inline constexpr double kWriteDemandHeadroomFactor = 1.5;
// A read of the lowest rank that has waited this long is sent ahead of higher ranks.
inline constexpr std::int64_t kLowRankPromotionDelayMs = 500;
inline constexpr std::int64_t kLowRankPromotionIntervalMs = 250;
// Minimum time between two progress writes of a job that is not complete.
inline constexpr std::int64_t kProgressWriteIntervalMs = 1000;
// Share of the leader's write rate.
inline constexpr double kProgressWriteShare = 0.2;
// Progress writes are deferred while the write backlog exceeds this, in seconds of the node's rate.
inline constexpr double kMaxBacklogForProgressS = 0.3;
// Progress that has been deferred for this long is written regardless of backlog and share. Workers
// list completed tasks until then: only those on a machine that is lost meanwhile run again.
inline constexpr std::int64_t kMaxProgressDelayMs = 10'000;
// Launch watermark of a new job record, in tasks. Saves a write before the first launches.
inline constexpr std::uint32_t kInitialLaunchWatermark = 32;
// Job records are below 1 KB, so that a page stays far below 512 KiB.
inline constexpr std::uint32_t kMaxRangePageItems = 200;
// Stored as 2 KiB of hexadecimal digits at the most, which must fit the smallest value limit.
inline constexpr std::uint32_t kTasksPerProgressChunk = 8192;

// --- allocation log ---
// Share of the leader's write rate.
inline constexpr double kAllocationWriteShare = 0.5;
// A chunk is split when it exceeds either this share of the store's value limit or this size.
// Smaller chunks cost more writes, larger ones more bytes for each change.
inline constexpr double kMaxAllocationChunkShare = 0.9;
inline constexpr std::size_t kMaxAllocationChunkBytes = 20'000;
// Values of one transaction; the store accepts 64 KiB.
inline constexpr std::size_t kMaxAllocationBatchBytes = 50'000;
// Changes that no launch waits for are written within this time.
inline constexpr std::int64_t kMaxAllocationWriteDelayMs = 2000;
inline constexpr std::size_t kMaxTasksPerMachine = 1000;
// Encoded size of one task. Limits the tasks per machine, because a machine must fit one chunk.
inline constexpr std::size_t kMaxAllocationTaskBytes = 24;

// --- users ---
inline constexpr int kRetryAfterS = 1;
// Some 100 bytes each.
inline constexpr std::size_t kMaxCachedOutcomes = 4000;

// --- workers ---
// The response to a machine with free capacity is deferred for up to this share of the heartbeat
// interval, within the bounds below, so that a newly submitted job can start at once. The maximum
// must stay below the workers' response timeout of 4 s.
inline constexpr double kResponseDeferralShare = 0.45;
inline constexpr std::int64_t kMinResponseDeferralMs = 900;
inline constexpr std::int64_t kMaxResponseDeferralMs = 2500;
// Upper bound for heartbeats relayed through the store, which already adds latency.
inline constexpr std::int64_t kMaxRelayedResponseDeferralMs = 300;
// Added to the silence timeout before a machine counts as missing and is replaced: a worker that
// changes controllers needs this long to reach the next one.
inline constexpr std::int64_t kMissingMachineDelayMs = 3000;
// Consolidation pauses while a larger share of the fleet is missing.
inline constexpr double kMaxMissingMachineShare = 0.02;
// Keeps a heartbeat response within the protocol's limit of 64 KiB a line: a command has some 110
// bytes at the most.
inline constexpr std::size_t kMaxCommandsPerResponse = 500;
// A machine gets no new assignments after this many heartbeat intervals plus the margin without a
// heartbeat.
inline constexpr double kSilenceTimeoutHeartbeats = 1.25;
inline constexpr std::int64_t kMinSilenceTimeoutMs = 4000;
inline constexpr std::int64_t kSilenceTimeoutMarginMs = 1500;
// Low bits of an attempt number, which count within a term; the bits above name the term.
inline constexpr int kAttemptSequenceBits = 32;
// Above the terms that versions without epochs have reached: election/fencing_token.hpp.
inline constexpr std::uint64_t kFirstAttemptPrefix = 1U << 19;
// Fencing tokens of a term: one for each epoch of the commands to a machine.
inline constexpr std::uint64_t kFencingTokensPerTerm = 1U << 20;
inline constexpr std::int64_t kStopRetryIntervalMs = 2000;
inline constexpr std::int64_t kWorkerCallTimeoutMs = 2000;

// A launch is sent to the machine directly only if its next heartbeat is at least this far away:
// the call costs about as much as two heartbeats.
inline constexpr std::int64_t kMinWaitForDirectLaunchMs = 1500;
// Consecutive responses without effect after which a machine counts as unreachable.
inline constexpr std::uint32_t kUnreachableMissedResponses = 2;
inline constexpr std::int64_t kUnreachableProbeIntervalMs = 5000;

// Images tracked per machine: more than a machine's cache holds.
inline constexpr std::size_t kMaxTrackedImages = 16;
// Share of the node's CPU that placement may use on average. After each run placement pauses
// accordingly.
inline constexpr double kPlacementCpuShare = 0.15;
inline constexpr std::int64_t kMaxPlacementPauseMs = 500;
// Weight of the image fetch time, relative to run time, for jobs above normal priority.
inline constexpr double kUrgentFetchCostFactor = 4;
// Placement runs at least this often, also without an event that triggers it.
inline constexpr std::int64_t kPlacementIntervalMs = 1000;
// Aging: a job that has not started any task after kAgedWaitS goes first within its priority, and
// after kDueWaitS ahead of all jobs that are not within a guarantee, in both cases with one task.
// The largest jobs of a class should begin within four minutes, and reserved capacity may take a
// task's run time to become free.
inline constexpr double kAgedWaitS = 75;
inline constexpr double kDueWaitS = 135;
// Capacity is reserved for at most this many aged jobs at a time, as a share of the number of
// machines, and for at least one.
inline constexpr double kAgedReservationShare = 0.02;
inline constexpr std::int64_t kPreemptionIntervalMs = 500;
// A task with less predicted run time left than this is not preempted.
inline constexpr double kMinRemainingForPreemptionS = 4;
// Added to the checkpoint time in the grace period of a task that is being stopped.
inline constexpr double kStopGraceMarginS = 1;
// Share of a machine's capacity that must be free before its tasks may be moved off it.
inline constexpr double kMinConsolidationFreeShare = 0.5;
// Share of the fleet, at least one machine, that consolidation may drain at a time.
inline constexpr double kMaxDrainingShare = 0.03;
// A task is moved only after running for this long, and with this much predicted run time left.
inline constexpr double kMinRunTimeForMoveS = 30;
inline constexpr double kMinRemainingForMoveS = 20;

inline constexpr std::int64_t kPeerHeartbeatIntervalMs = 500;
// Silence after which another controller counts as unreachable: three peer heartbeats.
inline constexpr std::int64_t kPeerSilenceTimeoutMs = 1600;
// A worker that returns within this time of a redirect could not reach the leader: it waits 4 s for
// a response and up to 1 s before it tries the next node.
inline constexpr std::int64_t kRedirectReturnWindowMs = 12000;
// A worker whose heartbeats are relayed is redirected to the leader again after this time.
inline constexpr std::int64_t kRelayPeriodMs = 30000;
// Must stay below the workers' response timeout of 4 s.
inline constexpr std::int64_t kRelayTimeoutMs = 3000;
inline constexpr std::size_t kMaxRelayValueBytes = 6000;
// Bytes of a relay value in addition to its heartbeats or responses: batch number and field names.
inline constexpr std::size_t kRelayValueOverheadBytes = 100;
// The relay tracks at least this many machines, and a node queues at least this many heartbeats
// while there is no leader; with more max_connections than this, as many as those. A tracked
// machine takes some 100 bytes, a heartbeat mostly less than 1 KB.
inline constexpr std::size_t kMinRelayCapacity = 6000;
// An abstaining controller does not contend for the leadership for this long. After a start it
// waits as long, because an abstention given before a crash is not stored. The leader can request
// it six times before it ends.
inline constexpr std::int64_t kVoteAbstentionPeriodMs = 3000;
// The leader requests abstentions when its lease has not been renewed for this long.
inline constexpr std::int64_t kVoteAbstentionRequestDelayMs = 1300;

// A leader that receives heartbeats only through relays for this long resigns. Relaying costs
// little, while a takeover leaves tasks unknown (docs/incidents/inc-a269.md).
inline constexpr std::int64_t kDirectHeartbeatTimeoutMs = 30000;
// A leader that has resigned does not contend for this long.
inline constexpr std::int64_t kResignationBackoffMs = 20000;

// --- machines ---
inline constexpr std::int64_t kCloudCallTimeoutMs = 4000;
inline constexpr std::int64_t kCloudRoundIntervalMs = 1000;
// Limit of one rental request (PROTOCOL).
inline constexpr std::uint32_t kMaxMachinesPerScaleOut = 50;
// Cloud calls per round that scaling out leaves for releases and lists.
inline constexpr double kReservedCloudCallsPerRound = 2.5;
// Limits of one page of the machine list, and of one release request (PROTOCOL).
inline constexpr std::uint32_t kMaxMachinesPerListPage = 500;
inline constexpr std::size_t kMaxMachinesPerRelease = 100;
// Assumed for machines of an unknown type.
inline constexpr double kUnknownTypeBootTimeS = 60;
inline constexpr std::int64_t kMachineListIntervalMs = 5000;
// The machine list is at most this many times older than the lag in the settings (PROTOCOL).
inline constexpr double kMaxMachineListLagFactor = 2;
inline constexpr std::int64_t kMachineTypesReadIntervalMs = 60000;
// A machine is returned as stuck if it takes longer to boot than its nominal boot time times the
// factor, plus the margin.
inline constexpr double kStuckBootFactor = 4.0;
inline constexpr std::int64_t kStuckBootMarginMs = 20000;
// An offer without capacity is not requested again for this long.
inline constexpr std::int64_t kNoCapacityBackoffMs = 10000;
// A machine that is still silent this long after its lease expired is returned.
inline constexpr std::int64_t kLostMachineReturnDelayMs = 10000;
// An idle machine is returned within this time before the end of its charge unit.
inline constexpr std::int64_t kIdleReturnWindowMs = 2500;
// An idle machine is kept for this times ((on-demand price / own price)^2 - 1): on-demand machines
// not at all, spot machines longer the cheaper they are.
inline constexpr double kIdleRetentionBaseS = 4;
// Names of returned machines are kept so that stale lists and late heartbeats do not add the
// machines again. With more max_connections than this, as many names are kept. Some 100 bytes each.
inline constexpr std::size_t kMinReturnedMachinesKept = 6000;
// A machine is faulty after this many failures of jobs that complete elsewhere, unless it has
// completed the given number of tasks per failure.
inline constexpr std::uint32_t kMinFaultyMachineFailures = 2;
inline constexpr std::uint32_t kMinCompletionsPerFailure = 10;
// A job that has failed on this many machines and completed on none is quarantined.
inline constexpr std::size_t kMinFailedMachinesForQuarantine = 2;
// Machines recorded per failing job.
inline constexpr std::size_t kMaxFailedMachinesPerJob = 64;
// A machine's pace is the moving average of its tasks' run times relative to their jobs' means.
// This is the weight of the newest task.
inline constexpr double kPaceSmoothingWeight = 0.3;
// Above this pace a machine is used only as a last resort: it is beyond the spread of a job's
// tasks.
inline constexpr double kSlowMachinePace = 1.5;
// Above this pace a machine is cordoned.
inline constexpr double kFaultyMachinePace = 3;
// Completed tasks from which a job's mean run time counts towards a machine's pace.
inline constexpr std::uint32_t kMinCompletedTasksForPace = 3;
// Exponential backoff of a job after consecutive task failures.
inline constexpr std::int64_t kInitialFailureBackoffMs = 2000;
inline constexpr std::int64_t kMaxFailureBackoffMs = 30000;

// --- policy selection ---
inline constexpr std::int64_t kPolicySelectionIntervalMs = 5000;
// Idle machines are returned at the end of a charge unit. It may be shorter than kMinChargedTimeS,
// since the cloud charges by the second after that.
inline constexpr double kChargeUnitS = 20;
// Charged for any returned machine (PROTOCOL).
inline constexpr double kMinChargedTimeS = 60;
// Run times below this count as this in the bounded slowdown (paper, section 2).
inline constexpr double kSlowdownBoundS = 10;
// Parameters of the utility function (paper, section 2).
inline constexpr double kUtilityKappa = 100;
inline constexpr double kUtilityAlpha = 1;
inline constexpr double kUtilityBeta = 1;
// Lambda: the share of the replayed policies that are Smart in the next selection (paper, section
// 4).
inline constexpr double kSmartPolicyShare = 0.6;
// Bounded slowdown above which ODX rents (paper, section 3.1).
inline constexpr double kOdxSlowdownThreshold = 2;
// ODE packs queued work into units of this length (paper, section 3.1).
inline constexpr double kOdePackingUnitS = 3600;
// Share of the node's CPU that replay may use on average.
inline constexpr double kReplayCpuShare = 0.10;
// Between two measurements of the process's CPU use; longer than the period of a CPU quota.
inline constexpr std::int64_t kCpuMeasurementPeriodMs = 2000;
// Longest uninterrupted replay on the event loop.
inline constexpr double kMaxReplaySliceMs = 1.0;
// A replay ends here; work that is still queued counts as finished at this time.
inline constexpr double kReplayHorizonS = 3600;
// Simulated time of one replay pass, per thousand machines and queued tasks. Forty machines are
// replayed nearly exactly, 450 with 3,000 tasks in passes of about 2 s, a small part of a task's
// run.
inline constexpr double kReplayPassPerThousandS = 0.5;

// --- logs and metrics ---
// Period between summaries of one event; doubles from the minimum to the maximum while the event
// keeps occurring.
inline constexpr std::int64_t kMinAggregationPeriodMs = 1000;
inline constexpr std::int64_t kMaxAggregationPeriodMs = 64'000;
// Values of a field that a summary lists.
inline constexpr std::size_t kMaxAggregatedNames = 4;
// Distinct values of a field that a summary counts; the rest is counted as "other".
inline constexpr std::size_t kMaxAggregatedGroups = 12;
// Growth over the last summary's count that triggers an early summary.
inline constexpr std::uint64_t kAggregationSurgeFactor = 4;
// Clock differences between controllers up to this are attributed to message delay.
inline constexpr std::int64_t kMaxIgnoredClockOffsetMs = 250;
// Job classes, and teams, whose served share is tracked by name.
inline constexpr std::size_t kMaxServedShareNames = 64;
// A waiting job is expected to have started after this time.
inline constexpr std::int64_t kServedShareDueWaitMs = 120'000;
// Half-life of ended jobs in the served share.
inline constexpr std::int64_t kServedShareHalfLifeMs = 300'000;
// A job class or team below this share of started jobs is starving: the operators' bound.
inline constexpr double kMinServedShare = 0.5;
// Starvation is logged once it has lasted this long, and again at this interval.
inline constexpr std::int64_t kLowServedShareLogIntervalMs = 60'000;
inline constexpr std::int64_t kStateLogIntervalMs = 5000;
// GET /metrics returns cached text for this long, so that frequent scrapes do not delay responses.
inline constexpr std::int64_t kMetricsRefreshIntervalMs = 1000;
inline constexpr std::size_t kMaxPageConnections = 8;
inline constexpr std::size_t kMaxPageRequestHeadBytes = 8 * 1024;

// --- network ---
// Users poll every 5 s, and workers send heartbeats more often than this.
inline constexpr int kClientIdleTimeoutS = 60;
// Share of max_connections for idle incoming connections, and for requests in progress. Above it
// responses close their connections. The rest is for those and for outgoing connections.
inline constexpr double kMaxIncomingConnectionShare = 0.7;
// Share of the incoming connections above which responses other than to heartbeats close theirs:
// users poll rarely, while a worker would have to reconnect for each heartbeat.
inline constexpr double kMaxUserConnectionShare = 0.9;
// Share of max_connections for calls to workers. At 1,500 connections these are 300; a fleet of
// 9,200 machines gets 280 calls a second, of milliseconds each.
inline constexpr double kMaxWorkerCallConnectionShare = 0.2;
// File descriptors in addition to max_connections: listeners, event loop, standard streams, log,
// libraries.
inline constexpr std::uint64_t kReservedOpenFiles = 64;
inline constexpr std::size_t kMaxPeerFrameBytes = 256 * 1024;
// Priorities of libevent; the lowest value goes first. Urgent: the tick and the store, which keep
// the leader's lease.
inline constexpr int kUrgentEventPriority = 0;
inline constexpr int kNormalEventPriority = 1;
inline constexpr int kEventPriorities = 2;
// Bounds on normal callbacks between two checks for urgent ones.
inline constexpr int kMaxDispatchCallbacks = 32;
inline constexpr int kMaxDispatchIntervalMs = 20;
inline constexpr int kMaxStoreConnections = 12;
inline constexpr int kMaxCloudConnections = 2;

}  // namespace hitchfront::settings
