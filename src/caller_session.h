// One connection of a caller: reads its requests one after the other and writes
// their responses. Internal header of the server for callers.
#pragma once

#include <array>
#include <chrono>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

#include "src/boot_clock.h"
#include "src/caller_connection.h"
#include "src/connection_places.h"
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
        broker(options.broker == nullptr ? *own_broker : *options.broker),
        places({.limit = options.max_connections}) {}

  void Count(ServerRefusal refusal) {
    ++refusals[static_cast<size_t>(refusal)];
  }
  // A refusal with 503, as bytes, for a connection that is closed.
  std::string RefusalBytes(ServerRefusal refusal) const;

  boost::asio::io_context& io;
  CallerServerOptions options;
  std::unique_ptr<ByteBroker> own_broker;
  ByteBroker& broker;
  std::list<boost::asio::ip::tcp::acceptor> acceptors;
  // Those whose socket is open, and all sessions by the id of their place.
  ConnectionPlaces places;
  std::unordered_map<ConnectionPlaces::Id, CallerSession*> sessions;
  // New connections that are being refused.
  size_t refusing = 0;
  // By ServerRefusal.
  std::array<uint64_t, static_cast<size_t>(ServerRefusal::kCount)> refusals{};
  size_t requests_in_flight = 0;
  bool draining = false;
  std::chrono::milliseconds idle_grace{0};
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
  // Closes the connection, unless a request has arrived meanwhile. A request
  // that was being read is refused, as far as the socket takes the answer; an
  // answer that its caller does not read is broken off. Returns whether the
  // connection was closed.
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
  boost::asio::awaitable<void> Reject(ServerRefusal refusal);
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
  void SetFraming(Header& header);
  // Called by the account: refuses the request that is being read, or breaks
  // off the response.
  void OnShortOfMemory();
  void CloseSocket();
  // Closes the connection in the middle of a request or an answer.
  void BreakOff();
  void SetStage(HolderStage stage);
  void SetUse(PlaceUse use);
  void NoteMoved(size_t bytes);

  std::shared_ptr<State> state_;
  boost::beast::tcp_stream stream_;
  // Its place, given back when the socket is closed.
  ConnectionPlaces::Id place_;
  PlaceUse use_ = PlaceUse::kUnused;
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
  // True while the first bytes of the next request are awaited.
  bool waiting_ = false;
  // Whether a request was answered.
  bool used_ = false;
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
