list(APPEND core_sources
  src/owner/allocation_audit.cc
  src/owner/claim_gate.cc
  src/owner/holder_table.cc
  src/owner/ledger.cc
  src/owner/owner_table.cc
  src/owner/prefix_index.cc
  src/owner/rate_predictor.cc
  src/owner/target_owner.cc
  src/owner/target_owner_admission.cc
  src/owner/target_owner_turns.cc
  src/owner/target_queue.cc
  src/owner/warmup_budget.cc)
