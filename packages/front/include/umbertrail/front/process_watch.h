#ifndef UMBERTRAIL_FRONT_PROCESS_WATCH_H_
#define UMBERTRAIL_FRONT_PROCESS_WATCH_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "absl/strings/string_view.h"
#include "umbertrail/base.h"
#include "umbertrail/dispatch/response_end.h"
#include "umbertrail/front/target_pool.h"
#include "umbertrail/net/alarm.h"
#include "umbertrail/net/client.h"

namespace umbertrail::front {

// One incarnation of a target, and where it is reached.
struct TargetProcess {
  TargetId id;
  // Unix time of its start; 0 if unknown.
  int64_t born_ms = 0;
  net::Endpoint endpoint;
};

// Finds out whether the process that sends a response outlives the end of that
// response. While the response arrives, a second connection to the target is
// held open: a process that ends takes it along, whatever accepts new
// connections at the address afterwards. After the end the target has to answer
// a question on that connection; only where there is none, on a new one, and
// then the answer has to come from the same incarnation.
class ProcessWatch : public net::ResponseListener,
                     public std::enable_shared_from_this<ProcessWatch> {
 public:
  enum class Result {
    // The process answered after the question was asked.
    kAlive,
    // It is gone.
    kEnded,
    // No connection was held, and a new one fails.
    kUnreachable,
    // It accepts connections and answers nothing that can be read in time.
    kSilent,
  };
  using Callback = std::function<void(Result result)>;

  // How long a live process may take to answer; it may pause for a second.
  static constexpr absl::Duration kAnswerTimeout = absl::Seconds(2);

  ProcessWatch(net::Loop& loop, TargetPool& pool, TargetProcess process);

  // Holds a connection from now on.
  void Start();
  // Asks whether the process is alive. `done` runs once, synchronously or
  // later, and not after Stop.
  void Ask(Callback done);
  // Returns the held connection to the pool.
  void Stop();
  // Evidence for the log: no connection was held when the question was asked,
  // or that one had ended; and the answer stated when the process started.
  bool asked_on_new_connection() const { return on_new_connection_; }
  bool answer_stated_birth() const { return answer_stated_birth_; }

  // net::ResponseListener, for the answer to the question:
  void OnHead(const net::ResponseHead& head) override;
  void OnBody(absl::string_view bytes) override;
  void OnEnd() override;
  void OnFailure(net::CallFailure failure) override;

 private:
  // Replaces a held connection that was closed for being idle.
  void Hold();
  void AskOnNewConnection();
  void SendQuestion();
  void OnTimeout();
  // Without an answer, a held connection that ended tells that the process did.
  void FinishUnanswered(Result result);
  void Finish(Result result);

  net::Loop& loop_;
  TargetPool& pool_;
  TargetProcess process_;
  net::Timer timer_;
  std::shared_ptr<net::ClientConnection> connection_;
  // The question goes over a connection that was opened after the response's
  // end.
  bool on_new_connection_ = false;
  // The held connection ended with the response, or was closed by the target.
  bool held_connection_ended_ = false;
  bool is_other_process_ = false;
  bool answer_stated_birth_ = false;
  std::string answer_;
  Callback done_;
};

}  // namespace umbertrail::front

#endif  // UMBERTRAIL_FRONT_PROCESS_WATCH_H_
