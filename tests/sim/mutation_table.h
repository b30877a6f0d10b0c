#ifndef UMBERTRAIL_TESTS_SIM_MUTATION_TABLE_H_
#define UMBERTRAIL_TESTS_SIM_MUTATION_TABLE_H_

#include <array>

#include "umbertrail/core/mutations.h"

namespace umbertrail::sim {

// Each deliberate breakage by name, and the property whose loss shows it.
struct NamedMutation {
  const char* name;
  const char* finding;
  bool core::Mutations::*flag;
};

inline constexpr std::array<NamedMutation, 18> kMutations = {{
    {"accept_older_revision", "revision",
     &core::Mutations::accept_older_revision},
    {"ignore_closed_data_centre", "closed data centre",
     &core::Mutations::ignore_closed_data_centre},
    {"ignore_leaving_target", "leaving target",
     &core::Mutations::ignore_leaving_target},
    {"dispatch_unfresh_after_pause", "closed data centre",
     &core::Mutations::dispatch_unfresh_after_pause},
    {"skip_cold_settling", "cold target", &core::Mutations::skip_cold_settling},
    {"full_cold_budget_unconfirmed", "cold target",
     &core::Mutations::full_cold_budget_unconfirmed},
    {"keep_warm_after_restart", "cold target",
     &core::Mutations::keep_warm_after_restart},
    {"use_late_grants", "cold target", &core::Mutations::use_late_grants},
    {"forget_allocations", "memory", &core::Mutations::forget_allocations},
    {"redeem_ticket_twice", "doubled", &core::Mutations::redeem_ticket_twice},
    {"retry_after_bytes_sent", "doubled",
     &core::Mutations::retry_after_bytes_sent},
    {"say_not_run_after_send", "said not run",
     &core::Mutations::say_not_run_after_send},
    {"relay_foreign_chunks", "part", &core::Mutations::relay_foreign_chunks},
    {"cut_on_stop", "planned stop", &core::Mutations::cut_on_stop},
    {"forget_deaths", "poison", &core::Mutations::forget_deaths},
    {"ignore_deadline", "deadline", &core::Mutations::ignore_deadline},
    {"order_backwards", "backwards", &core::Mutations::order_backwards},
    {"grant_key_when_young", "doubled", &core::Mutations::grant_key_when_young},
}};

}  // namespace umbertrail::sim

#endif  // UMBERTRAIL_TESTS_SIM_MUTATION_TABLE_H_
