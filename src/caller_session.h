// One connection of a caller: reads its requests one after the other and writes
// their responses. Internal header of the server for callers.
#pragma once

#include <chrono>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "src/caller_connection.h"
#include "src/request_reader.h"

namespace pimento {

class CallerSession;

struct CallerServer::State {
  State(boost::asio::io_context& context, CallerServerOptions given)
      : io(context),
        options(std::move(given)),
        own_broker(options.broker == nullptr ? std::make_unique<ByteBroker>(
                                                   io, ByteAccount::Options{})
                                             : nullptr),
        broker(options.broker == nullptr ? *own_broker : *options.broker) {}

  boost::asio::io_context& io;
  CallerServerOptions options;
  std::unique_ptr<ByteBroker> own_broker;
  ByteBroker& broker;
  std::list<boost::asio::ip::tcp::acceptor> acceptors;
  std::list<CallerSession*> sessions;
  // Sessions whose socket is open.
  size_t open_connections = 0;
  size_t requests_in_flight = 0;
  bool draining = false;
  std::chrono::milliseconds idle_grace{0};
};

// What a connection does that may give way to a new one, in the order in which
// connections do.
enum class SpareRank : uint8_t {
  // Its last response was sent, and it discards what else arrives.
  kEnded,
  // It waits for its first request, or for a further one.
  kUnused,
  kIdle,
  // It has stalled in the middle of a request.
  kStalled,
  kNotSpare,
};

class CallerSession : public ResponseWriter,
                      public std::enable_shared_from_this<CallerSession> {
 public:
  using State = CallerServer::State;

  CallerSession(std::shared_ptr<State> state,
                boost::asio::ip::tcp::socket socket);
  ~CallerSession() override;

  boost::asio::awaitable<void> Run();
  // Ends the connection if it waits for a request of which nothing has arrived.
  void CloseIfIdle();
  // Whether the connection may give way, and since when it does nothing.
  std::pair<SpareRank, int64_t> Spare(int64_t now_ms) const;
  // Closes the connection, unless a request has arrived meanwhile. A request
  // that was being read is refused, as far as the socket takes the answer.
  // Returns whether it was closed.
  bool GiveWay();

  boost::asio::awaitable<bool> Send(Header header, std::string body) override;
  boost::asio::awaitable<bool> Begin(Header header) override;
  boost::asio::awaitable<bool> Write(std::string piece) override;
  boost::asio::awaitable<bool> End() override;
  boost::asio::awaitable<void> Hold(
      uint64_t bytes, std::chrono::steady_clock::time_point deadline) override;
  void Abort() override;
  bool begun() const override { return begun_; }

 private:
  boost::asio::awaitable<bool> WaitForRequest();
  boost::asio::awaitable<bool> ReadRequest();
  // Returns what the reader said of the header and of the whole request, with
  // the limits of now.
  boost::asio::awaitable<ReadOutcome> ReadWithin(RequestReader& reader,
                                                 RequestParser& parser);
  // Answers a request that could not be read; closes the connection.
  boost::asio::awaitable<void> RejectUnread(
      ReadOutcome outcome, const boost::beast::error_code& error);
  boost::asio::awaitable<void> Reject(unsigned status);
  boost::asio::awaitable<void> HandleRequest(RequestParser& parser);
  // Keeps a piece of a stream that is sent whole, on the account. Returns false
  // when the stream is too long.
  boost::asio::awaitable<bool> Collect(const std::string& piece);
  // Sends a long body in pieces, so that it shows whether its reader moves.
  boost::asio::awaitable<boost::beast::error_code> SendLong(
      Header header, const std::string& body);
  boost::asio::awaitable<void> DiscardRest();
  void WatchForClose();
  void OnReadable();
  void SetFraming(Header& header) const;
  // Called by the account: refuses the request that is being read, or breaks
  // off the response.
  void OnShortOfMemory();
  void CloseSocket();
  void SetStage(HolderStage stage);

  std::shared_ptr<State> state_;
  boost::beast::tcp_stream stream_;
  // Own entry in the list of sessions.
  std::list<CallerSession*>::iterator position_;
  boost::beast::flat_buffer buffer_;
  // What the present request holds; absent between requests.
  std::optional<ByteBroker::Holder> holder_;
  // Of it, the request itself, and what its handler holds besides.
  uint64_t request_bytes_ = 0;
  uint64_t handler_bytes_ = 0;
  // Set while a handler processes a request.
  StopToken* token_ = nullptr;
  // True while a wait started by WatchForClose() is pending.
  bool watching_ = false;
  // True while the first bytes of the next request are awaited, and since when.
  bool waiting_ = false;
  int64_t waiting_since_ms_ = 0;
  // Whether a request was answered.
  bool used_ = false;
  // Whether what arrives is discarded.
  bool discarding_ = false;
  // Whether the socket counts as open.
  bool counted_ = true;
  // Whether the current response was started and completely written.
  bool begun_ = false;
  bool ended_ = false;
  bool is_head_request_ = false;
  // True when the connection must close after the current response.
  bool closing_ = false;
  // True for an HTTP/1.0 request, whose stream is sent whole with its length:
  // without chunks, a broken one could not be told from a complete one.
  bool collects_stream_ = false;
  Header collected_header_;
  std::string collected_;
};

}  // namespace pimento
