#ifndef UMBERTRAIL_TESTS_SIM_MUTATION_TABLE_H_
#define UMBERTRAIL_TESTS_SIM_MUTATION_TABLE_H_

#include <array>

#include "umbertrail/core/mutations.h"

namespace umbertrail::sim {

// Each deliberate breakage by name.
struct NamedMutation {
  const char* name;
  bool core::Mutations::*flag;
};

inline constexpr std::array<NamedMutation, 18> kMutations = {{
    {"accept_older_revision", &core::Mutations::accept_older_revision},
    {"ignore_closed_data_centre", &core::Mutations::ignore_closed_data_centre},
    {"ignore_leaving_target", &core::Mutations::ignore_leaving_target},
    {"dispatch_unfresh_after_pause",
     &core::Mutations::dispatch_unfresh_after_pause},
    {"skip_cold_settling", &core::Mutations::skip_cold_settling},
    {"full_cold_budget_unconfirmed",
     &core::Mutations::full_cold_budget_unconfirmed},
    {"keep_warm_after_restart", &core::Mutations::keep_warm_after_restart},
    {"use_late_grants", &core::Mutations::use_late_grants},
    {"forget_allocations", &core::Mutations::forget_allocations},
    {"redeem_ticket_twice", &core::Mutations::redeem_ticket_twice},
    {"retry_after_bytes_sent", &core::Mutations::retry_after_bytes_sent},
    {"say_not_run_after_send", &core::Mutations::say_not_run_after_send},
    {"relay_foreign_chunks", &core::Mutations::relay_foreign_chunks},
    {"cut_on_stop", &core::Mutations::cut_on_stop},
    {"forget_deaths", &core::Mutations::forget_deaths},
    {"ignore_deadline", &core::Mutations::ignore_deadline},
    {"order_backwards", &core::Mutations::order_backwards},
    {"grant_key_when_young", &core::Mutations::grant_key_when_young},
}};

}  // namespace umbertrail::sim

#endif  // UMBERTRAIL_TESTS_SIM_MUTATION_TABLE_H_
