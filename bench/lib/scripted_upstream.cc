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

ScriptedUpstream::ScriptedUpstream(Script script)
    : script_(std::move(script)),
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
  beast::flat_buffer buffer;
  for (int position = 1;; ++position) {
    http::request<http::string_body> received;
    beast::error_code error;
    http::read(socket, buffer, received, error);
    if (error) return;
    const Request request{.id = Field(received, "X-Pimentopulley-Request-Id"),
                          .target = std::string(received.target()),
                          .last_event_id = Field(received, "Last-Event-Id"),
                          .body = received.body(),
                          .position = position,
                          .connection = connection};
    {
      const std::lock_guard lock(mutex_);
      requests_.push_back(request);
    }
    Answer answer(socket);
    script_(request, answer);
    if (!answer.open()) return;
  }
}

}  // namespace pimento::testbed
