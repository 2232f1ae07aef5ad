// Every constant of the service, with its unit and the reason for its value. Published limits of
// the protocol stand in wire/; what a deployment decides comes from its settings.
#pragma once
#include <cstddef>
#include <cstdint>

namespace hitchfront::settings {

// --- clocks -------------------------------------------------------------------------------------
// Steady clocks drift apart by up to this share (PROTOCOL).
inline constexpr double kDrift = 0.0005;
// ms. Added to every wait for somebody else's lease to end: timers' steps and the store's 100 ms of
// lateness in ending a lease.
inline constexpr std::int64_t kLeaseMarginMs = 250;
// ms. How often time-driven work is looked at; fine enough for half-second abstentions, and ten
// wakes a second cost under a thousandth of a core.
inline constexpr std::int64_t kTickMs = 100;

// --- leadership ---------------------------------------------------------------------------------
// ms. The leader's lease. Long enough to ride out a few lost renewals, short enough that a crash
// leaves workers (12 s leases and up) time to find the next leader.
inline constexpr std::int64_t kLeaderTtlMs = 5000;
// ms. Renewals: five chances within one lease.
inline constexpr std::int64_t kRenewMs = 1000;
// ms. Taken off the leader's own view of its lease, on top of drift: the time an answer may spend
// between the check and the wire.
inline constexpr std::int64_t kLeaderMarginMs = 200;
// ms. Contenders for a free leadership wait up to this long at random, so that they rarely collide.
inline constexpr std::int64_t kContendMs = 150;

// --- levels of the stored state
// ------------------------------------------------------------------- ms. The lease of a
// controller's announcement, renewed three times within it: 720 requests an hour for each
// controller.
inline constexpr std::int64_t kMemberTtlMs = 15000, kMemberRenewMs = 5000;
// ms between two looks of the leader at what holds the next level back, and of a process at a level
// it does not support.
inline constexpr std::int64_t kLevelStepMs = 1000, kLevelLookMs = 2000;
// ms that nothing must have held the next level back: ten peer heartbeats of every controller.
inline constexpr std::int64_t kLevelSettleMs = 5000;
// Share of the leader's write rate in which values are brought into the active level's form, one a
// second at the least.
inline constexpr double kMigrateShare = 0.1;

// --- rebuilding after a loss
// ---------------------------------------------------------------------- The level from which the
// stored state has an identity, and losses are noticed and rebuilt.
inline constexpr std::uint32_t kDataLossLevel = 3;
// The level from which machine types stand under another key, so that versions from before levels
// are never healthy.
inline constexpr std::uint32_t kMovedTypesLevel = 4;
// The level from which jobs may await others: an earlier version would drop the names when it
// writes the record again.
inline constexpr std::uint32_t kDependenciesLevel = 5;
// ms between two looks whether the state has been rebuilt.
inline constexpr std::int64_t kDataLossPollMs = 500;
// ms for which the rebuild waits for the other controllers' copies: ten peer heartbeats.
inline constexpr std::int64_t kGatherMs = 5000;
// Numbers of former leaders' leases that are not used again after a loss: more leaders than
// abstentions and leases outlive.
inline constexpr std::size_t kRetiredLeasesMost = 8;
// ms between two lines in the log about what a node waits for while the stored state is lost.
inline constexpr std::int64_t kDataLossLogMs = 5000;
// Writes of a rebuild that are refused in a row before another controller is left to try: three
// seconds of them.
inline constexpr std::size_t kRecoveryTries = 10;
// ms between two readings of what has changed, for the copy: two requests a second for each
// controller.
inline constexpr std::int64_t kReplicaSyncMs = 1000;
// Final states in a copy; some 16 MB.
inline constexpr std::size_t kReplicaOutcomes = 100'000;
// bytes of a copy in one message between controllers, below the longest frame.
inline constexpr std::size_t kReplicaPart = 128 * 1024;
// bytes of records in one transaction of a rebuild, of the 64 KiB that it may have.
inline constexpr std::size_t kRecoveryBatch = 40'000;

// --- store --------------------------------------------------------------------------------------
// ms. The store answers within 10 ms, sometimes a few hundred.
inline constexpr std::int64_t kStoreTimeoutMs = 1500;
// ms. How long a watch is held; renewing it six times a minute costs next to nothing.
inline constexpr std::int64_t kWatchHoldMs = 10000;
// ms between the reads by which a node answers users' polls, each for all that came before it: five
// requests a second for each node however many poll, and far below the 2 s that users wait.
inline constexpr std::int64_t kViewMs = 200;
// ms between two openings of the leader's watch of jobs: changes that come more densely are told
// together.
inline constexpr std::int64_t kWatchPaceMs = 100;
// Polls that wait for an answer before further ones are refused: one for each machine of a fleet of
// 6,000, all within the time of a read, as after an outage. Some 300 bytes each.
inline constexpr std::size_t kPollsMost = 6000;
// ms. Pause before a failed watch or list is tried again.
inline constexpr std::int64_t kStoreRetryMs = 300;
// ms. Pause before something is formed anew that was refused as too large.
inline constexpr std::int64_t kTooLargeRetryMs = 5000;
// Share of the store's published rates that the nodes together allow themselves; the rest absorbs
// the difference between our buckets and the store's.
inline constexpr double kStoreShare = 0.9;
// Share of the write rate, and of the request rate, that the leader may use; the others split the
// rest evenly.
inline constexpr double kLeaderShare = 0.5;
// ms without an answer of the store after which the log says so: a lost packet or a slow call is no
// outage.
inline constexpr std::int64_t kStoreDownMs = 1000;
// s of the node's rates that may wait for the store's budget before users are refused, and calls
// that may in any case: users wait 5 s, and whoever is refused comes again in a second.
inline constexpr double kStoreQueueS = 1;
inline constexpr std::size_t kStoreQueueLeast = 8;
// What a node says it needs of the write rate, times what it used in the last second: a rise of
// half is told in time.
inline constexpr double kNeedsSpare = 1.5;
// ms after which the oldest question about a job that is over goes before newer ones of other
// ranks, and between two such.
inline constexpr std::int64_t kOldestMs = 500, kOldestEveryMs = 250;
// ms between two writes of a job's progress, unless it is over: the tasks that end meanwhile share
// one.
inline constexpr std::int64_t kProgressMs = 1000;
// Share of the leader's write rate that progress may use, s of that rate that may wait before
// progress waits too, and ms that it waits at most: workers go on listing what is done, so that
// only what ends on a machine that is then lost is done once more.
inline constexpr double kProgressShare = 0.2, kProgressBacklogS = 0.3;
inline constexpr std::int64_t kProgressMostMs = 10'000;
// Tasks of a job that count as launched from its acceptance, which saves the write of its first
// launch watermark: no more than that first mark was.
inline constexpr std::uint32_t kInitialWatermark = 32;
// Items in a page of a range read: job records are under 1 KB, so a page stays far below 512 KiB.
inline constexpr std::uint32_t kPageItems = 200;
// Tasks in one progress chunk: 1 KiB of bits, 2 KiB of hex, within the smallest value limit.
inline constexpr std::uint32_t kChunkTasks = 8192;

// --- allocation log
// ------------------------------------------------------------------------------------- Share of
// the leader's write rate that the allocation log may use; the rest is for marks, progress and
// final states.
inline constexpr double kAllocationShare = 0.5;
// Share of a value's size limit from which a chunk of the allocation log is divided, and characters
// from which it is in any case: smaller ones cost more writes, larger ones more bytes for each
// change.
inline constexpr double kAllocationChunkShare = 0.9;
inline constexpr std::size_t kAllocationChunkMost = 20'000;
// Characters of the allocation log in one transaction, of the 64 KiB that it may have.
inline constexpr std::size_t kAllocationBatchMost = 50'000;
// ms within which a machine that was rented or returned, or a task that is gone, is in the stored
// allocation log: a hint only.
inline constexpr std::int64_t kAllocationSoonMs = 2000;
// Tasks on one machine past which nothing more is placed there, and bytes that each may take of a
// value, were each of another job: a chunk with this machine alone has to fit.
inline constexpr std::size_t kMachineTasksMost = 1000, kAllocationTaskBytes = 24;

// --- users --------------------------------------------------------------------------------------
// s. What a refused user is told to wait.
inline constexpr int kRetryAfterS = 1;
// Final answers kept for repeated polls; about 100 bytes each.
inline constexpr std::size_t kOutcomeCache = 4000;

// --- workers ------------------------------------------------------------------------------------
// A heartbeat of a machine with free capacity is answered at the latest after this share of the
// time between heartbeats, so that a job that arrives meanwhile starts at once. Workers wait 4 s
// for an answer: ms that it may be at least and most.
inline constexpr double kHoldShare = 0.45;
inline constexpr std::int64_t kHoldLeastMs = 900, kHoldMostMs = 2500;
// ms. The same for a heartbeat that came through the store, whose answer takes as long again, and
// only where launches wait for the allocation log.
inline constexpr std::int64_t kHoldRelayedMs = 300;
// ms beyond that after which a machine's replacement is rented: a worker that changes controllers
// has found the next one.
inline constexpr std::int64_t kMissedMs = 3000;
// Share of the fleet that may be missing while tasks are moved for tidiness.
inline constexpr double kMissedShare = 0.02;
// Commands in one answer to a worker: some 110 bytes each at most, so that the answer stays below
// the 64 KiB of a line even after a heartbeat full of tasks that nobody knows.
inline constexpr std::size_t kCommandsMost = 500;
// A machine that has said nothing for so many times as long as its heartbeats are apart, and some,
// gets no new assignments: a heartbeat may be a quarter late. ms: at least, and the spare time.
inline constexpr double kSilentHeartbeats = 1.25;
inline constexpr std::int64_t kSilentLeastMs = 4000, kSilentSpareMs = 1500;
// Bits of an attempt number below the term.
inline constexpr int kAttemptBits = 32;
// ms. Repeating a direct stop to a worker that has not acted on it.
inline constexpr std::int64_t kStopRepeatMs = 2000;
// ms. Time allowed for a direct command.
inline constexpr std::int64_t kWorkerTimeoutMs = 2000;

// ms. A launch is sent to the machine itself where its next heartbeat is expected no sooner: a call
// costs about what two reports do, and a shorter wait is not worth it.
inline constexpr std::int64_t kDirectWorthMs = 1500;
// Answers in a row of which nothing came, from which a machine counts as unreachable, and ms
// between two direct questions to it.
inline constexpr std::uint32_t kUnreachableResponses = 2;
inline constexpr std::int64_t kUnreachableProbeMs = 5000;

// Images of a machine's cache that are remembered; more than any cache here holds.
inline constexpr std::size_t kImagesKnown = 16;
// Share of the node's processor that placement may use on average: after each placement the next
// one waits as long as its counted work stands for, at most kPlaceMostMs. A small fleet never
// waits.
inline constexpr double kPlaceShare = 0.15;
inline constexpr std::int64_t kPlaceMostMs = 500;
// How much dearer than its run the fetch of an image counts for work of more than normal priority,
// which is to start at once.
inline constexpr double kFarUrgent = 4;
// ms between placements that no event asked for.
inline constexpr std::int64_t kWakeUpMs = 1000;
// s of waiting from which a job that has begun nothing goes before what else has its priority, and
// before whatever is not within a guarantee, with one task: operators fail a day on which a class's
// largest jobs begin after four minutes, and what is set aside takes a task's run time to come
// free.
inline constexpr double kAgedS = 75, kDueS = 135;
// Share of the machines on which capacity may be set aside for such jobs at a time.
inline constexpr double kAsideShare = 0.02;
// ms between looks for somebody to stop.
inline constexpr std::int64_t kPreemptMs = 500;
// s. A task this close to its predicted end is not stopped.
inline constexpr double kNearlyDoneS = 4;
// s. What a task being stopped gets beyond the time it needs to save.
inline constexpr double kGraceSpareS = 1;
// Free share of a machine from which its tasks may move off it.
inline constexpr double kNearlyEmpty = 0.5;
// Share of the fleet, one machine at the least, that may be emptied at a time.
inline constexpr double kDrainingShare = 0.03;
// s a task has run before it may move (earlier, its start would not count), and that it has still
// to run, as far as is known.
inline constexpr double kSettledS = 30, kWorthMovingS = 20;

// ms between the leader's peer heartbeats to the other controllers, and the silence after which one
// is thought unreachable: three signs.
inline constexpr std::int64_t kPeerHeartbeatMs = 500;
inline constexpr std::int64_t kPeerSilentMs = 1600;
// ms. A worker that is back this soon after a redirect could not reach the leader (it waits 4 s for
// an answer and up to a second before it tries the next node).
inline constexpr std::int64_t kBouncedMs = 12000;
// ms. After this long of passing a worker's heartbeats on it is redirected once more.
inline constexpr std::int64_t kRelayMs = 30000;
// ms. A relayed heartbeat not answered by then is refused; the worker waits 4 s.
inline constexpr std::int64_t kRelayTimeoutMs = 3000;
// bytes of reports in one value, and what the value has beside them: its batch's number and the
// fields' names.
inline constexpr std::size_t kRelayValueMost = 6000, kRelayValueFrame = 100;
// Machines remembered by a relay before it looks for old entries, and heartbeats kept while nobody
// leads: a fleet of 6,000 at the least, whatever the settings allow of connections, since that does
// not bound a fleet; and as many as connections, for a larger one. Some 100 bytes each, and a
// heartbeat its size, mostly below 1 KB.
inline constexpr std::size_t kRelayMachines = 6000;
// ms. What a controller promises when the leader asks: not to take over for this long. Six chances
// to renew it; and as long a wait after a start, for an abstention made before a crash is
// forgotten.
inline constexpr std::int64_t kAbstentionMs = 3000;
// ms without a renewed lease after which the leader asks for abstentions.
inline constexpr std::int64_t kAbstentionAskAfterMs = 1300;

// ms. A leader that hears its workers only through others for this long leaves the lead to them.
// Passing on costs little, a takeover a lease of doubt.
inline constexpr std::int64_t kNoDirectHeartbeatMs = 30000;
// ms. It then does not contend for this long.
inline constexpr std::int64_t kResignPauseMs = 20000;

// --- machines -----------------------------------------------------------------------------------
// ms. Cloud calls may take a few hundred milliseconds.
inline constexpr std::int64_t kCloudTimeoutMs = 4000;
// ms between rounds of cloud calls: each round rents, returns and lists in a few calls.
inline constexpr std::int64_t kCloudRoundMs = 1000;
// Machines in one rental (PROTOCOL), and calls of a round that are not rentals: one returns, one
// and a half list.
inline constexpr std::uint32_t kScaleOutMost = 50;
inline constexpr double kOtherCloudCalls = 2.5;
// Machines in a page of the cloud's list, and names in one release (PROTOCOL).
inline constexpr std::uint32_t kListPage = 500;
inline constexpr std::size_t kReleaseMost = 100;
// s that a machine of a type that is not known is thought to boot.
inline constexpr double kUnknownBootS = 60;
// ms between machine lists; the list lags by ten seconds anyway.
inline constexpr std::int64_t kListMs = 5000;
// A list is at most so many times older than the settings' lag (PROTOCOL).
inline constexpr double kListOldest = 2;
// ms between reads of machine types (prices move).
inline constexpr std::int64_t kTypesMs = 60000;
// A machine still booting after this many times its nominal boot time plus kStuckMs is returned.
inline constexpr double kStuckBoots = 4.0;
inline constexpr std::int64_t kStuckMs = 20000;
// ms. After "no capacity" an offer is not asked for again for this long.
inline constexpr std::int64_t kNoCapacityMs = 10000;
// ms. A machine whose lease is over and that stays silent this much longer is returned.
inline constexpr std::int64_t kLostReturnMs = 10000;
// ms. An idle machine is returned when its charge unit ends within this time.
inline constexpr std::int64_t kReturnWindowMs = 2500;
// s. Idle machines are kept for this long times (ordinary price / own price) squared, less one:
// nothing for ordinary machines, longer the cheaper a spot machine is.
inline constexpr double kKeepS = 4;
// Names of returned machines remembered, so that stale lists and late heartbeats do not revive
// them: a fleet of 6,000 that is returned at once, and as many as the settings allow connections,
// where that is more. Some 100 bytes each.
inline constexpr std::size_t kTombstones = 6000;
// Failures of jobs that complete elsewhere from which a machine is blamed, unless it completed this
// many times as many tasks since the first of them; and machines on which a job fails, completing
// nowhere, before the job is.
inline constexpr std::uint32_t kFaultyFailures = 2, kFaultyRatio = 10;
inline constexpr std::size_t kQuarantineMachines = 2;
// Machines remembered for a job that fails; a job that fails on more is at fault itself.
inline constexpr std::size_t kAttributionMachinesMost = 64;
// Weight of the newest task in a machine's pace, and the paces from which it is used last (half as
// fast again as the rest is beyond the spread of a job's tasks) and not at all.
inline constexpr double kPaceWeight = 0.3, kSlowPace = 1.5, kFaultyPace = 3;
// Completed tasks a job needs before its mean is a measure for machines.
inline constexpr std::uint32_t kPaceTasks = 3;
// ms. First pause after a job's task failed; doubles up to the second value.
inline constexpr std::int64_t kFailPauseMs = 2000, kFailPauseMostMs = 30000;

// --- portfolio (starting values of the design)
// ---------------------------------------------------- ms between selections (the design's 5 s; the
// paper used 20 s).
inline constexpr std::int64_t kSelectMs = 5000;
// s. Charge unit that replaces the paper's hour. The design's 60 s is what a machine costs at
// least; beyond that the cloud charges by the second, so idle machines need not wait for a minute's
// end.
inline constexpr double kChargeUnitS = 20;
// s. What a returned machine costs at least (PROTOCOL).
inline constexpr double kLeastPaidS = 60;
// s. Bound of the slowdown (paper, section 2).
inline constexpr double kSlowdownBoundS = 10;
// Utility: kappa, alpha, beta (paper, section 2).
inline constexpr double kKappa = 100, kAlpha = 1, kBeta = 1;
// Share of the replayed policies that are Smart next time (paper, section 4).
inline constexpr double kLambda = 0.6;
// Bounded slowdown above which ODX rents (paper, section 3.1).
inline constexpr double kOdxThreshold = 2;
// s. ODE packs queued work into hours (paper, section 3.1).
inline constexpr double kOdeUnitS = 3600;
// Share of the node's processor that replay may use on average.
inline constexpr double kReplayShare = 0.10;
// ms over which the process's use of the processor is compared with its share: longer than the
// periods in which a platform hands out shares.
inline constexpr std::int64_t kWatchProcessorMs = 2000;
// ms. Longest slice of replay between two looks at the network.
inline constexpr double kSliceMs = 1.0;
// s. Replays stop here; work still queued then counts as finished at this time.
inline constexpr double kReplayHorizonS = 3600;
// s. Length of a replay's pass for each thousand machines and queued tasks. Forty machines are
// replayed nearly exactly; 450 with 3,000 tasks in passes of about 2 s, a small part of any task's
// run.
inline constexpr double kReplayPassS = 0.5;

// --- log and figures ----------------------------------------------------------------------------
// ms between summaries of one kind of event: at first, and at most where it goes on and on. A day
// of 1,000 s in which everything happens all the time then has some twenty lines of each kind.
inline constexpr std::int64_t kAggregateLeastMs = 1000, kAggregateMostMs = 64'000;
// Values that a summary lists, and different values that it counts before the rest is called
// "other".
inline constexpr std::size_t kAggregateNames = 4, kAggregateGroups = 12;
// Times what the last summary told (and some) that make a surge, which is told at once.
inline constexpr std::uint64_t kAggregateSurge = 4;
// ms between two controllers' lines about one event that delays explain; more is a clock that is
// wrong.
inline constexpr std::int64_t kLogSummaryClockMs = 250;
// Classes, and teams, whose share served is kept by name. ms after which a job that waits should
// have had its turn, and ms in which what is over counts half as much.
inline constexpr std::size_t kServedNames = 64;
inline constexpr std::int64_t kServedDueMs = 120'000, kServedFadeMs = 300'000;
// Below this share started a class or team is starving (the operators' own bound), told when it
// lasts for so many ms.
inline constexpr double kServedShare = 0.5;
inline constexpr std::int64_t kServedLowMs = 60'000;
// ms between the debug lines that tell the fleet's state.
inline constexpr std::int64_t kStateMs = 5000;
// ms for which the text of GET /metrics is given again, and connections that may ask at once:
// whoever scrapes too often must not take the processor from answers.
inline constexpr std::int64_t kScrapeMs = 1000;
inline constexpr std::size_t kPagesMost = 8;
// bytes of a request head on the peers' side.
inline constexpr std::size_t kPageHeadMost = 8 * 1024;

// --- network ------------------------------------------------------------------------------------
// s. Idle client connections are closed. Users poll every 5 s and workers report every 2 s.
inline constexpr int kIdleS = 60;
// Share of max_connections that incoming connections may keep while they wait for their next
// request, and of which requests may be in progress. Above it responses close their connections;
// the rest of max_connections is for those, which are open for one request only, and for outgoing
// connections. Fleets may be larger than either.
inline constexpr double kIncomingShare = 0.7;
// Share of the incoming connections from which on others than heartbeats' are closed after their
// response. A user's next poll is 5 s away, goes through the load balancer and loses nothing, while
// a worker would connect anew with each heartbeat.
inline constexpr double kUserConnectionShare = 0.9;
// Share of max_connections for calls to workers in progress, each on a connection of its own. At
// 1,500 connections 300, where a fleet of 9,200 machines gets 280 of them a second, of milliseconds
// each.
inline constexpr double kWorkerCallShare = 0.2;
// Open files beside the connections: the event loop's, listeners, standard streams, the log, and
// what libraries keep.
inline constexpr std::uint64_t kOtherOpenFiles = 64;
// bytes. A frame between controllers: a worker's heartbeat with capacity to spare.
inline constexpr std::size_t kFrameMost = 256 * 1024;
// Priorities in the loop: the clock and the store, by which the lead is kept, then everything else.
inline constexpr int kUrgentPriority = 0, kOrdinaryPriority = 1, kPriorities = 2;
// Callbacks of ordinary priority, and ms of them, between two looks for urgent ones.
inline constexpr int kTurnCallbacks = 32, kTurnMs = 20;
// Parallel connections to the store and to the cloud; more calls wait their turn.
inline constexpr int kStoreConnections = 12, kCloudConnections = 2;

}  // namespace hitchfront::settings
