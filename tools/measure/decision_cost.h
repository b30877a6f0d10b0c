#ifndef UMBERTRAIL_TOOLS_MEASURE_DECISION_COST_H_
#define UMBERTRAIL_TOOLS_MEASURE_DECISION_COST_H_

namespace umbertrail::measure {

// Processor time of one decision on a loaded target, in microseconds.
struct DecisionCost {
  double probe_us = 0;
  double admit_and_settle_us = 0;
  double tick_us = 0;
};

// Loads an owner's targets as the planned fleet would: 600 targets in the
// list, 290 client accounts, 30 models, 64 attempts running and `queued`
// requests waiting on the target that is measured.
DecisionCost MeasureDecisionCost(int queued);

}  // namespace umbertrail::measure

#endif  // UMBERTRAIL_TOOLS_MEASURE_DECISION_COST_H_
