// Stand-in for a model engine.

#include <utility>

#include <httplib.h>

#include "absl/strings/str_split.h"
#include "standins/arguments.h"
#include "standins/engine_server.h"
#include "standins/server.h"

namespace umbertrail::standin {
namespace {

constexpr char kUsage[] = R"(Stand-in for a model engine.

Usage:
  standin_engine [options]

Options:
  --port PORT              Port on 127.0.0.1; 0 lets the kernel choose [default: 0].
  --name NAME              Name in its boot id [default: engine].
  --model MODEL            Model it serves [default: small].
  --version-name VERSION   Version it serves [default: 1].
  --adapters LIST          Adapters, divided by commas [default: ].
  --prefill RATE           Prompt tokens a second [default: 200000].
  --decode RATE            Answer tokens a second and stream [default: 200].
  --batch N                Streams that decode at once [default: 16].
  --memory TOKENS          KV memory [default: 500000].
  --cold                   Starts cold.
  --cold-budget TOKENS     Tokens in flight that a cold engine bears [default: 20000].
  --cold-speed PART        Part of the rates while cold [default: 0.3].
  --warm-after TOKENS      Finished tokens that warm it [default: 60000].
  --ignore-fence           Obeys orders with an older fencing number.
  --report-lag MS          Age of its reports [default: 200].
  --event-lag MS           Delay of its cache events [default: 500].
  --event-loss N           Loses one in N cache events; 0 loses none [default: 10].
  --restart-ms MS          Time it refuses work after a crash [default: 500].
  --poison TEXT            Prompts with this text kill it [default: <<poison>>].
  --weights ADDRESS        Weight store; none loads at once [default: ].
  --seed N                 Seed of its boot ids [default: 1].
  --run-for SECONDS        Ends by itself after this time [default: 600].
)";

EngineSettings ReadEngine(const Arguments& arguments) {
  EngineSettings engine;
  engine.name = arguments.Text("--name");
  engine.model = arguments.Text("--model");
  engine.version = arguments.Text("--version-name");
  engine.adapters =
      absl::StrSplit(arguments.Text("--adapters"), ',', absl::SkipEmpty());
  engine.prefill_per_second = arguments.Fraction("--prefill");
  engine.decode_per_second = arguments.Fraction("--decode");
  engine.max_batch = static_cast<int>(arguments.Number("--batch"));
  engine.memory = arguments.Number("--memory");
  engine.starts_cold = arguments.Flag("--cold");
  engine.cold_budget = arguments.Number("--cold-budget");
  engine.cold_speed = arguments.Fraction("--cold-speed");
  engine.warm_after = arguments.Number("--warm-after");
  engine.checks_fence = !arguments.Flag("--ignore-fence");
  engine.report_lag = arguments.Millis("--report-lag");
  engine.cache_event_lag = arguments.Millis("--event-lag");
  engine.cache_event_loss = static_cast<int>(arguments.Number("--event-loss"));
  engine.restart_time = arguments.Millis("--restart-ms");
  engine.poison_marker = arguments.Text("--poison");
  return engine;
}

int Run(const Arguments& arguments) {
  BlockStopSignals();
  EngineServerSettings settings;
  settings.engine = ReadEngine(arguments);
  settings.weights_address = arguments.Text("--weights");
  settings.seed = static_cast<uint64_t>(arguments.Number("--seed"));
  EngineServer engine(std::move(settings));
  httplib::Server server;
  Configure(server);
  engine.Mount(server);
  ServeOptions options;
  options.port = static_cast<int>(arguments.Number("--port"));
  options.run_for = arguments.Seconds("--run-for");
  return Serve(server, options, [&engine] { engine.Stop(); });
}

}  // namespace
}  // namespace umbertrail::standin

int main(int argc, char** argv) {
  return umbertrail::standin::Run(
      umbertrail::standin::Arguments(umbertrail::standin::kUsage, argc, argv));
}
