// Events of jobs and their tasks.
#include "telemetry/event_tables.hpp"

namespace hitchfront::telemetry::tables {
namespace {

constexpr EventSpec kTable[] = {
    single(Event::job_unreadable, Level::error, "job.unreadable", {text("job")},
           "a stored record can't be read; the job is left alone"),
    single(Event::job_quarantined, Level::info, "job.quarantined", {text("job")},
           "fails on several machines and completes nowhere: submitted with a mistake, most "
           "likely; tried one task at a time until its user cancels it"),
    aggregated(Event::job_cancelled, "job.cancelled", {listed("job")}, "its user cancelled it"),
    aggregated(
        Event::job_waits, "job.waits", {listed("job"), text("for")},
        "it depends on other jobs, of which one is named, and starts nothing before they are "
        "done"),
    aggregated(Event::job_released, "job.released", {listed("job"), text("after")},
               "all that it depends on is done, the named job last, and its tasks may start"),
    aggregated(
        Event::job_cancelled_with, "job.cancelled_with", {listed("job"), text("cause")},
        "a job that it depends on, directly or through others, was cancelled: `cause`, or one "
        "between the two"),
    aggregated(Event::job_terminated, "job.terminated", {listed("job")},
               "cancelled, and all its tasks are confirmed terminated"),
    aggregated(Event::job_done, "job.done", {listed("job")},
               "all its tasks are done, and that is stored"),
    single(
        Event::task_launched, Level::debug, "task.launched",
        {text("job"), integer("task"), text("machine"), integer("attempt"), integer("token"),
         text("route")},
        "a launch command was sent with this fencing token: in the `response` to a heartbeat, or "
        "`direct`"),
    single(Event::task_ended, Level::debug, "task.ended",
           {text("job"), integer("task"), text("machine"), text("cause"), number("ran_s")},
           "a task that did not complete"),
    single(Event::task_unexpected, Level::info, "task.unexpected",
           {text("job"), integer("task"), text("machine"), integer("attempt"), integer("token"),
            number("sent_s_ago"), number("answered_s_ago"), boolean("stopped")},
           "a machine lists an attempt of this term that was confirmed terminated there: a launch "
           "was executed again. Since when its direct launch was sent and answered (-1: not "
           "known); stopped if the task may be on another machine"),
};

}  // namespace

std::span<const EventSpec> jobs_events() {
  return kTable;
}

}  // namespace hitchfront::telemetry::tables
