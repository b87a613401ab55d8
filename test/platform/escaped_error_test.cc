// Errors of a type that nobody expects, in tasks that run beside a call: the
// call ends with an error of its own, and the event loop goes on.
#include <doctest/doctest.h>
#include <unistd.h>

#include <boost/asio.hpp>
#include <chrono>
#include <exception>
#include <optional>
#include <stdexcept>
#include <string>

#include "src/archive_client.h"
#include "src/archive_codec.h"
#include "src/caller_connection.h"
#include "src/connection_pool.h"

namespace pimento::testbed {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using std::chrono::milliseconds;

constexpr uint64_t kMember = 7;
constexpr milliseconds kLimit{3'000};

// An archive of one member, and a client of it, on one event loop.
class OneArchive {
 public:
  explicit OneArchive(ArchiveReply reply)
      : reply_(std::move(reply)),
        server_(io_,
                {.limits = [] { return CallerLimits{}; },
                 .handler = [this](const CallerRequest&, ResponseWriter& answer,
                                   StopToken&) { return Serve(answer); }}),
        pool_(io_.get_executor()),
        client_(io_, pool_, {.zone = "z"}) {
    static int number = 0;
    const std::string address = "127." + std::to_string(1 + getpid() % 250) +
                                ".202." + std::to_string(++number) + ":17780";
    server_.Listen(address);
    client_.UpdateMembers(
        {.version = 1,
         .members = {
             {.id = kMember, .host = "a", .zone = "z", .address = address}}});
  }
  ArchiveClient& client() { return client_; }

  // The error with which a reservation ends; nullopt when it has not ended
  // within the limit. An empty text: it succeeded.
  std::optional<std::string> Reserve() {
    std::optional<std::string> outcome;
    asio::co_spawn(
        io_, client_.Reserve({.program = "p", .turn = "t", .tokens = 1}, 100),
        [&](const std::exception_ptr& error, bool) {
          outcome = "";
          try {
            if (error) std::rethrow_exception(error);
          } catch (const ArchiveError& e) {
            outcome = std::string("archive: ") + e.what();
          } catch (const std::exception& e) {
            outcome = std::string("other: ") + e.what();
          }
          io_.stop();
        });
    io_.restart();
    io_.run_for(kLimit);
    return outcome;
  }

 private:
  asio::awaitable<void> Serve(ResponseWriter& answer) {
    ResponseWriter::Header header;
    header.result(http::status::ok);
    co_await answer.Send(std::move(header), EncodeReply(reply_));
  }

  asio::io_context io_;
  ArchiveReply reply_;
  CallerServer server_;
  ConnectionPool pool_;
  ArchiveClient client_;
};

}  // namespace

// Guards against a call that waits for ever for a member whose task has ended
// by an error of another type than expected.
TEST_CASE("a task that ends by an unexpected error ends its archive call") {
  OneArchive archive({.verdict = ArchiveVerdict::kDone, .member = kMember});
  CHECK(archive.Reserve() == "");
  archive.client().set_on_store_report(
      [](const std::string&, int64_t, BootClock::time_point) {
        throw std::logic_error("unexpected");
      });
  const auto outcome = archive.Reserve();
  REQUIRE(outcome);
  CHECK(outcome->starts_with("archive: "));
}

// Guards against a settlement that is given up, unlogged, because an archive
// named a member list that cannot be read.
TEST_CASE("a member list that cannot be read fails the archive call") {
  OneArchive archive({.verdict = ArchiveVerdict::kStaleList,
                      .member = kMember,
                      .members = "nonsense"});
  const auto outcome = archive.Reserve();
  REQUIRE(outcome);
  CHECK(outcome->starts_with("archive: "));
}

}  // namespace pimento::testbed
