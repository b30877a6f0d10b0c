#include <poll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "stand_in.h"

// Clients that aren't under control send legal bodies piece by piece, in two
// crowds. The first uploads bodies of the largest size, some of them on
// connections that were idle before. The second holds many connections with
// bodies in very small chunks that never end. Eight ordinary clients try all
// the while.

namespace review {
namespace {

constexpr size_t kLargestBody = 4194304;  // The config's max_body_bytes.
// Uploads that go on slowly; together they fill the memory for bodies.
constexpr int kSlowUploads = 14;
constexpr size_t kFirstPiece = 600000;
constexpr size_t kPiece = 12288;
constexpr double kPieceInterval = 0.3;
// Uploads on kept connections that were idle for a while.
constexpr int kLateUploads = 300;
constexpr int kLateAtOnce = 50;
constexpr double kIdle = 0.7;
// The second crowd.
constexpr int kHolders = 1900;
// Descriptors that this program needs for anything else.
constexpr int kOtherFds = 400;
constexpr int kHolderAddresses = 8;
constexpr double kChunkInterval = 1.0;
constexpr double kHold = 14;
// Ordinary clients, and how often each tries.
constexpr int kClients = 8;
constexpr double kTryInterval = 0.25;
// contact_ms of the settings.
constexpr double kContact = 3.0;

std::string Head(const std::string& id, const std::string& framing) {
  return "POST /read/x HTTP/1.1\r\nHost: case.example\r\nX-Attempt-Id: " + id +
         "\r\nX-Deadline-Ms: 10000\r\nAuthorization: Token key-a\r\n" +
         framing + "\r\n\r\n";
}

std::string LargeHead(const std::string& id) {
  return Head(id, "Content-Length: " + std::to_string(kLargestBody));
}

bool IsClosed(int fd) {
  char byte;
  const ssize_t n = recv(fd, &byte, 1, MSG_DONTWAIT | MSG_PEEK);
  return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

std::string Text(double seconds) {
  char text[32];
  std::snprintf(text, sizeof text, "%.2f", seconds);
  return text;
}

// Uploads of the first crowd that go on all the while.
void UploadSlowly(const InstanceOptions& to, const std::atomic<bool>& over) {
  std::vector<int> open;
  for (int i = 0; i < kSlowUploads; ++i) {
    const int fd = Connect(to.ip, to.front_port);
    SendAll(fd, LargeHead("slow" + std::to_string(i)) +
                    std::string(kFirstPiece, 'x'));
    open.push_back(fd);
  }
  while (!over) {
    SleepFor(kPieceInterval);
    for (const int fd : open) {
      SendAll(fd, std::string(kPiece, 'x'));
    }
  }
  for (const int fd : open) {
    close(fd);
  }
}

// Returns how many refusals the uploads got.
int UploadLate(const InstanceOptions& to, Record* record, int* begun) {
  int refusals = 0;
  for (int done = 0; done < kLateUploads; done += kLateAtOnce) {
    std::vector<int> open;
    for (int i = 0; i < kLateAtOnce; ++i) {
      open.push_back(Connect(to.ip, to.front_port));
    }
    SleepFor(kIdle);
    for (int i = 0; i < kLateAtOnce; ++i) {
      SendAll(open[static_cast<size_t>(i)],
              LargeHead("late" + std::to_string(done + i)));
      ++*begun;
    }
    for (int i = 0; i < kLateAtOnce; ++i) {
      const int fd = open[static_cast<size_t>(i)];
      Reader reader(fd);
      int got = 0;
      while (reader.Read(false, 0.2).status() == 503) {
        ++got;
      }
      close(fd);
      refusals += got;
      record->Line("late" + std::to_string(done + i) +
                   ": responses 503 to it: " + std::to_string(got));
    }
  }
  return refusals;
}

// Fewer where this program may not open so many; the instance may then not
// either.
int CountHolders() {
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  return limit.rlim_cur == RLIM_INFINITY
             ? kHolders
             : std::min<int>(kHolders,
                             static_cast<int>(limit.rlim_cur) - kOtherFds);
}

// The second crowd.
class Holders {
 public:
  explicit Holders(InstanceOptions to) : to_(std::move(to)) {}

  void Run(double seconds) {
    const int count = CountHolders();
    std::vector<int> open(static_cast<size_t>(std::max(count, 0)), -1);
    const double until = Now() + seconds;
    while (Now() < until) {
      const double round = Now();
      for (int i = 0; i < count; ++i) {
        int& fd = open[static_cast<size_t>(i)];
        if (fd >= 0 && IsClosed(fd)) {
          close(fd);
          fd = -1;
        }
        if (fd < 0) {
          fd = Connect(to_.ip, to_.front_port,
                       CaseIp(10 + i % kHolderAddresses));
          if (fd >= 0) {
            SendAll(fd, Head("hold" + std::to_string(begun_++),
                             "Transfer-Encoding: chunked"));
          }
        }
        if (fd >= 0) {
          SendAll(fd, "1\r\nx\r\n");
        }
      }
      SleepFor(round + kChunkInterval - Now());
    }
    for (const int fd : open) {
      if (fd >= 0) {
        close(fd);
      }
    }
  }
  int begun() const { return begun_; }

 private:
  const InstanceOptions to_;
  int begun_ = 0;
};

// What the ordinary clients and the platform's question have seen.
struct Seen {
  std::mutex mutex;
  double last_answer = 0;
  int tries = 0;
  int answers = 0;
  bool is_ready = false;
};

void Ask(const InstanceOptions& to,
         int number,
         const std::atomic<bool>& over,
         Record* record,
         Seen* seen) {
  for (int i = 0; !over; ++i) {
    const double begun = Now();
    const int fd = Connect(to.ip, to.front_port, CaseIp(30 + number));
    Message answer;
    if (fd >= 0) {
      SendAll(fd,
              Head("client" + std::to_string(number) + "-" + std::to_string(i),
                   "Content-Length: 5") +
                  "hello");
      answer = Reader(fd).Read(false, 2);
      close(fd);
    }
    record->Line("client" + std::to_string(number) + "-" + std::to_string(i) +
                 " sent " + Text(begun) + ": answered " +
                 std::to_string(answer.status()));
    {
      const std::lock_guard<std::mutex> lock(seen->mutex);
      ++seen->tries;
      if (answer.status() == 200) {
        ++seen->answers;
        seen->last_answer = Now();
      }
    }
    SleepFor(begun + kTryInterval - Now());
  }
}

bool IsReady(const InstanceOptions& to) {
  const int fd = Connect(to.ip, to.ready_port);
  if (fd < 0) {
    return false;
  }
  SendAll(fd, "GET /readiness HTTP/1.1\r\nHost: ready\r\n\r\n");
  const Message answer = Reader(fd).Read(false, 1);
  close(fd);
  return answer.status() == 200;
}

int Run(const std::string& program, const std::string& case_folder) {
  Record record(case_folder + "/record.txt");
  const bool trouble = TroubleWanted();
  const std::string folder = TemporaryFolder();
  const std::string store_ip = CaseIp(0);
  Store store(store_ip);
  Server runner(CaseIp(1), 0, [](int fd, const Message& request) {
    return SendAll(fd, RunnerAnswer(request, 200, "", "answer"));
  });
  store.Put("op/config", ConfigJson(5, {{"read", "/read/", "safe", "desk"}},
                                    {{"desk", 100, false}}));
  store.Put("servers/i-1",
            EntryJson("desk", CaseIp(1) + ":" + std::to_string(runner.port()),
                      16, "ready", UnixMs()));
  InstanceOptions options;
  options.program = program;
  options.folder = folder;
  options.ip = CaseIp(2);
  options.name = "front-1";
  options.front_port = FreePort(options.ip);
  options.ready_port = FreePort(options.ip);
  options.control_port = FreePort(options.ip);
  options.internal_port = 17340;
  options.seed_ip = options.ip;
  options.store = store_ip + ":" + std::to_string(store.port());
  Instance instance(options);
  instance.Start();
  if (!instance.AwaitReady(15)) {
    record.Line("the instance isn't ready");
    instance.Kill();
    RemoveFolder(folder);
    Exit(2);
  }
  record.Line("ready");
  Seen seen;
  seen.last_answer = Now();
  std::atomic<bool> over{false};
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] { Ask(options, i, over, &record, &seen); });
  }
  double longest = 0;
  std::atomic<bool> judged{false};
  std::thread judge([&] {
    double ready_since = Now();
    int tries_before = 0;
    int answers_before = 0;
    double next_line = Now() + 1;
    while (!judged) {
      if (!IsReady(options)) {
        ready_since = Now();
      }
      {
        const std::lock_guard<std::mutex> lock(seen.mutex);
        longest =
            std::max(longest, Now() - std::max(ready_since, seen.last_answer));
        if (Now() >= next_line) {
          record.Line("ordinary clients: tries " +
                      std::to_string(seen.tries - tries_before) +
                      ", answered " +
                      std::to_string(seen.answers - answers_before));
          tries_before = seen.tries;
          answers_before = seen.answers;
          next_line += 1;
        }
      }
      SleepFor(0.1);
    }
  });
  SleepFor(2);
  if (trouble) {
    // FIRST_CROWD=0 leaves the first crowd out, to tell which one does it.
    const char* first = std::getenv("FIRST_CROWD");
    if (first == nullptr || std::string(first) != "0") {
      std::atomic<bool> uploaded{false};
      std::thread slow([&] { UploadSlowly(options, uploaded); });
      SleepFor(1.5);
      int begun = 0;
      const int refusals = UploadLate(options, &record, &begun);
      uploaded = true;
      slow.join();
      record.Line("uploads on idle connections " + std::to_string(begun) +
                  ", responses 503 to them " + std::to_string(refusals));
    }
    SleepFor(4);
    record.Line("the second crowd begins");
    Holders holders(options);
    holders.Run(kHold);
    record.Line("the second crowd has left, connections begun " +
                std::to_string(holders.begun()));
  } else {
    SleepFor(kHold);
  }
  SleepFor(2);
  judged = true;
  judge.join();
  over = true;
  for (std::thread& client : clients) {
    client.join();
  }
  std::string how;
  const bool ended = instance.Ended(&how);
  record.Line("ordinary requests " + std::to_string(seen.tries) +
              ", answered " + std::to_string(seen.answers));
  record.Line("ready and no new connection served for at most " +
              Text(longest) + " s, while " + std::to_string(kClients) +
              " clients try");
  if (ended) {
    record.Line("the process ended by itself: " + how);
  }
  instance.Kill();
  RemoveFolder(folder);
  Exit(ended || longest > kContact ? 1 : 0);
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return argc == 3 ? review::Run(argv[1], argv[2]) : 2;
}
