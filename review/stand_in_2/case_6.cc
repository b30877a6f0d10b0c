#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "stand_in.h"

// Clients that aren't under control hold legal uploads of several sizes open
// and so fill the memory for bodies. Ordinary clients book on connections that
// they keep, as before.

namespace review {
namespace {

constexpr size_t kLargestBody = 4194304;  // The config's max_body_bytes.
// Uploads of the largest size that go on slowly, so that none is stalled.
constexpr int kLarge = 14;
constexpr size_t kFirstPiece = 600000;
constexpr size_t kPiece = 12288;
constexpr double kPieceInterval = 0.3;
// Uploads that stop just short of their end and stay open.
constexpr int kMiddle = 143;
constexpr size_t kMiddleBody = 65536;
constexpr int kSmall = 31;
constexpr size_t kSmallBody = 2048;
constexpr double kLookInterval = 0.05;
// Ordinary clients. Each keeps its connection idle for so long between two
// bookings; the config's idle_timeout_ms are 15000.
constexpr int kClients = 8;
constexpr int kBookings = 3;
constexpr double kIdle = 4.5;
constexpr size_t kBookingBody = 3000;

std::string Head(const std::string& id, size_t length) {
  return "POST /book/x HTTP/1.1\r\nHost: case.example\r\nX-Attempt-Id: " + id +
         "\r\nX-Deadline-Ms: 5000\r\nAuthorization: Token key-a\r\n"
         "Content-Length: " +
         std::to_string(length) + "\r\n\r\n";
}

bool IsClosed(int fd) {
  char byte;
  const ssize_t n = recv(fd, &byte, 1, MSG_DONTWAIT | MSG_PEEK);
  return n >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

// The crowd. Uploads that are refused or closed begin anew.
void Upload(const InstanceOptions& to,
            const std::atomic<bool>& over,
            Record* record) {
  struct One {
    size_t length = 0;
    int fd = -1;
    size_t sent = 0;
    double next = 0;
  };
  std::vector<One> all(kLarge + kMiddle + kSmall);
  for (size_t i = 0; i < all.size(); ++i) {
    all[i].length = i < kLarge             ? kLargestBody
                    : i < kLarge + kMiddle ? kMiddleBody
                                           : kSmallBody;
  }
  int number = 0;
  while (!over) {
    for (One& one : all) {
      if (one.fd >= 0 && IsClosed(one.fd)) {
        close(one.fd);
        one.fd = -1;
      }
      if (one.fd < 0) {
        one.fd = Connect(to.ip, to.front_port);
        if (one.fd < 0) {
          continue;
        }
        one.sent = std::min(kFirstPiece, one.length - 1);
        SendAll(one.fd, Head("upload" + std::to_string(number++), one.length) +
                            std::string(one.sent, 'x'));
        one.next = Now() + kPieceInterval;
      } else if (Now() >= one.next && one.sent + kPiece < one.length) {
        SendAll(one.fd, std::string(kPiece, 'x'));
        one.sent += kPiece;
        one.next = Now() + kPieceInterval;
      }
    }
    SleepFor(kLookInterval);
  }
  for (const One& one : all) {
    if (one.fd >= 0) {
      close(one.fd);
    }
  }
  record->Line("the crowd has left, uploads begun " + std::to_string(number));
}

// What the runner ran: the length of the body of each attempt.
struct Runs {
  std::mutex mutex;
  std::map<std::string, std::vector<size_t>> bodies;
};

struct Booking {
  std::string id;
  std::vector<int> statuses;  // Of all responses on the connection.
  double at = 0;
};

void Book(const InstanceOptions& to,
          int number,
          std::mutex* mutex,
          std::vector<Booking>* bookings) {
  SleepFor(kIdle * number / kClients);
  int fd = -1;
  std::unique_ptr<Reader> reader;
  for (int i = 0; i < kBookings; ++i) {
    if (fd < 0) {
      // A new connection, first used for a booking and then kept.
      fd = Connect(to.ip, to.front_port);
      reader = std::make_unique<Reader>(fd);
      SendAll(
          fd,
          Head("first" + std::to_string(number) + "-" + std::to_string(i), 5) +
              "hello");
      reader->Read(false, 6);
    }
    SleepFor(kIdle);
    Booking booking;
    booking.id = "b" + std::to_string(number) + "-" + std::to_string(i);
    booking.at = Now();
    SendAll(fd,
            Head(booking.id, kBookingBody) + std::string(kBookingBody, 'b'));
    Message answer = reader->Read(false, 6);
    booking.statuses.push_back(answer.status());
    if (answer.status() != 200) {
      // Is there anything behind it?
      answer = reader->Read(false, 1);
      if (answer.status() != 0) {
        booking.statuses.push_back(answer.status());
      }
      close(fd);
      fd = -1;
    }
    const std::lock_guard<std::mutex> lock(*mutex);
    bookings->push_back(booking);
  }
  if (fd >= 0) {
    close(fd);
  }
}

int Run(const std::string& program, const std::string& case_folder) {
  Record record(case_folder + "/record.txt");
  const bool trouble = TroubleWanted();
  const std::string folder = TemporaryFolder();
  const std::string store_ip = CaseIp(0);
  Store store(store_ip);
  Runs runs;
  Server runner(CaseIp(1), 0, [&runs](int fd, const Message& request) {
    {
      const std::lock_guard<std::mutex> lock(runs.mutex);
      runs.bodies[request.Header("x-attempt-id")].push_back(
          request.body.size());
    }
    SleepFor(0.03);
    return SendAll(fd, RunnerAnswer(request, 200, "", "booked"));
  });
  store.Put("op/config", ConfigJson(5, {{"book", "/book/", "unsafe", "desk"}},
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
  std::atomic<bool> over{false};
  std::thread crowd;
  if (trouble) {
    crowd = std::thread([&] { Upload(options, over, &record); });
    record.Line("the crowd begins");
    SleepFor(3);
  }
  std::mutex mutex;
  std::vector<Booking> bookings;
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] { Book(options, i, &mutex, &bookings); });
  }
  for (std::thread& client : clients) {
    client.join();
  }
  over = true;
  if (crowd.joinable()) {
    crowd.join();
  }
  SleepFor(1);
  int refused = 0;
  int refused_and_run = 0;
  int changed = 0;
  int unasked_success = 0;
  for (const Booking& one : bookings) {
    std::string line = one.id + " sent at " + std::to_string(one.at) +
                       " with a body of " + std::to_string(kBookingBody) +
                       ": responses";
    for (const int status : one.statuses) {
      line += " " + std::to_string(status);
    }
    const std::lock_guard<std::mutex> lock(runs.mutex);
    const auto run = runs.bodies.find(one.id);
    line += run == runs.bodies.end() ? "; not run" : "; run with a body of";
    if (run != runs.bodies.end()) {
      for (const size_t size : run->second) {
        line += " " + std::to_string(size);
        changed += size != kBookingBody ? 1 : 0;
      }
    }
    record.Line(line);
    if (one.statuses.front() == 503) {
      ++refused;
      refused_and_run += run != runs.bodies.end() ? 1 : 0;
      unasked_success +=
          one.statuses.size() > 1 && one.statuses.back() == 200 ? 1 : 0;
    }
  }
  record.Line("bookings " + std::to_string(bookings.size()) +
              ", refused with 503 " + std::to_string(refused));
  record.Line("refused with 503 and run all the same: " +
              std::to_string(refused_and_run));
  record.Line("run with another body than the client's: " +
              std::to_string(changed));
  record.Line("a 200 after the 503, with no request waiting: " +
              std::to_string(unasked_success));
  std::string how;
  if (instance.Ended(&how)) {
    record.Line("the process ended by itself: " + how);
  }
  instance.Kill();
  RemoveFolder(folder);
  Exit(refused_and_run + changed + unasked_success > 0 ? 1 : 0);
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return argc == 3 ? review::Run(argv[1], argv[2]) : 2;
}
