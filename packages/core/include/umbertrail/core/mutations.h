#ifndef UMBERTRAIL_CORE_MUTATIONS_H_
#define UMBERTRAIL_CORE_MUTATIONS_H_

// Deliberate breakages, one for each mechanism that a property rests on, so
// that the randomised runs can show that they would find its loss. All are off
// in a running daemon; only test programs set them.

namespace umbertrail::core {

struct Mutations {
  bool accept_older_revision = false;
  bool ignore_closed_data_centre = false;
  bool ignore_leaving_target = false;
  bool dispatch_unfresh_after_pause = false;
  bool skip_cold_settling = false;
  bool full_cold_budget_unconfirmed = false;
  bool keep_warm_after_restart = false;
  bool use_late_grants = false;
  bool forget_allocations = false;
  bool redeem_ticket_twice = false;
  bool retry_after_bytes_sent = false;
  bool say_not_run_after_send = false;
  bool relay_foreign_chunks = false;
  bool cut_on_stop = false;
  bool forget_deaths = false;
  bool ignore_deadline = false;
  bool order_backwards = false;
  bool grant_key_when_young = false;
};

}  // namespace umbertrail::core

#endif  // UMBERTRAIL_CORE_MUTATIONS_H_
