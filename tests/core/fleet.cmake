umbertrail_test(core_fleet_test
  SOURCES fleet_freshness_test.cc fleet_membership_test.cc fleet_ownership_test.cc fleet_random_test.cc
  DEPENDS umbertrail_core rapidcheck)
