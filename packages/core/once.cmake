list(APPEND core_sources
  src/once/key_home.cc
  src/once/outcome_log.cc
  src/once/redemption_archive.cc
  src/once/ticket_desk.cc)
