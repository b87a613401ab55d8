#include "bench/lib/scripted_upstream.h"

#include <sys/socket.h>

#include <algorithm>
#include <boost/beast.hpp>
#include <chrono>
#include <utility>

namespace pimento::testbed {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

std::string Field(const http::request<http::string_body>& request,
                  const char* name) {
  return std::string(request[name]);
}

}  // namespace

bool ScriptedUpstream::Reader::ReadHead() {
  parser_.emplace();
  parser_->body_limit(boost::none);
  beast::error_code error;
  http::read_header(socket_, buffer_, *parser_, error);
  return !error;
}

bool ScriptedUpstream::Reader::ReadBody(size_t bytes) {
  beast::error_code error;
  while (!error && !parser_->is_done() && parser_->get().body().size() < bytes)
    http::read_some(socket_, buffer_, *parser_, error);
  return !error;
}

ScriptedUpstream::Request ScriptedUpstream::Reader::request() const {
  const auto& message = parser_->get();
  return {.id = Field(message, "X-Pimentopulley-Request-Id"),
          .target = std::string(message.target()),
          .last_event_id = Field(message, "Last-Event-Id"),
          .body = message.body()};
}

void ScriptedUpstream::Answer::Write(const std::string& bytes) {
  if (!open_) return;
  beast::error_code error;
  asio::write(socket_, asio::buffer(bytes), error);
  if (error) open_ = false;
}

void ScriptedUpstream::Answer::Pause(int64_t milliseconds) {
  if (open_)
    std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
}

bool ScriptedUpstream::Answer::ReadRequest() {
  return reader_.ReadBody(std::numeric_limits<size_t>::max());
}

void ScriptedUpstream::Answer::EndWriting() {
  if (!open_) return;
  beast::error_code ignored;  // the peer may have closed already
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
}

void ScriptedUpstream::Answer::Close() {
  open_ = false;
  beast::error_code ignored;  // the peer may have closed already
  socket_.shutdown(tcp::socket::shutdown_both, ignored);
}

void ScriptedUpstream::Answer::Reset() {
  open_ = false;
  beast::error_code ignored;  // the peer may have closed already
  socket_.set_option(asio::socket_base::linger(true, 0), ignored);
  socket_.close(ignored);
}

void ScriptedUpstream::Answer::CloseUnread() {
  open_ = false;
  beast::error_code ignored;  // the peer may have closed already
  socket_.close(ignored);
}

ScriptedUpstream::ScriptedUpstream(Script script, Options options)
    : script_(std::move(script)),
      options_(options),
      acceptor_(io_, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)),
      acceptor_thread_([this] { Accept(); }) {}

ScriptedUpstream::~ScriptedUpstream() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
    for (tcp::socket& socket : sockets_) {
      beast::error_code ignored;  // closed already
      socket.shutdown(tcp::socket::shutdown_both, ignored);
    }
  }
  // Wakes the thread that waits for a connection.
  shutdown(acceptor_.native_handle(), SHUT_RDWR);
  acceptor_thread_.join();
  for (std::thread& thread : threads_) thread.join();
}

std::string ScriptedUpstream::address() const {
  return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
}

std::vector<ScriptedUpstream::Request> ScriptedUpstream::requests() const {
  const std::lock_guard lock(mutex_);
  return requests_;
}

size_t ScriptedUpstream::CountRequests(const std::string& id) const {
  const auto all = requests();
  return static_cast<size_t>(
      std::count_if(all.begin(), all.end(),
                    [&](const Request& request) { return request.id == id; }));
}

std::string ScriptedUpstream::AnswerFields(const Request& request) {
  return "X-Pimentopulley-Request-Id: " + request.id +
         "\r\nX-Pimentopulley-Server-Stamp: scripted\r\n";
}

std::string ScriptedUpstream::EventText(int id, const std::string& data) {
  return "id: " + std::to_string(id) + "\ndata: " + data + "\n\n";
}

void ScriptedUpstream::Accept() {
  for (int connection = 1;; ++connection) {
    tcp::socket accepted(io_);
    beast::error_code error;
    acceptor_.accept(accepted, error);
    if (error) return;
    const std::lock_guard lock(mutex_);
    if (stopping_) return;
    tcp::socket& socket = sockets_.emplace_back(std::move(accepted));
    threads_.emplace_back(
        [this, &socket, connection] { Serve(socket, connection); });
  }
}

void ScriptedUpstream::Serve(tcp::socket& socket, int connection) {
  Reader reader(socket);
  for (int position = 1;; ++position) {
    if (!reader.ReadHead()) return;
    if (!reader.ReadBody(options_.body_bytes_first)) return;
    Request request = reader.request();
    request.position = position;
    request.connection = connection;
    {
      const std::lock_guard lock(mutex_);
      requests_.push_back(request);
    }
    Answer answer(socket, reader);
    script_(request, answer);
    if (!answer.open() || !answer.ReadRequest()) return;
  }
}

}  // namespace pimento::testbed
