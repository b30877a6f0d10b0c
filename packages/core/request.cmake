list(APPEND core_sources
  src/request/account_limits.cc
  src/request/answer_assembler.cc
  src/request/fleet_placement.cc
  src/request/flow_admission.cc
  src/request/flow_arrival.cc
  src/request/flow_attempt.cc
  src/request/flow_finish.cc
  src/request/flow_once.cc
  src/request/flow_probe.cc
  src/request/flow_screen.cc
  src/request/rendezvous.cc
  src/request/request_table.cc
  src/request/retry_budget.cc
  src/request/screen_home.cc)
