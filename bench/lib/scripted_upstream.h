// An upstream in the test's own process, whose answers a test writes byte by
// byte: torn, repeated, late, without framing.
//
//   ScriptedUpstream upstream([](const auto& request, auto& answer) {
//     answer.Write("HTTP/1.1 200 OK\r\n" + upstream.IdLine(request) +
//     "\r\nab"); answer.Reset();
//   });
//   fleet.RegisterUpstream(301, "desk", upstream.address());
#pragma once

#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <cstdint>
#include <functional>
#include <limits>
#include <list>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace pimento::testbed {

class ScriptedUpstream {
 public:
  // One received request.
  struct Request {
    // The caller's request id.
    std::string id = {};
    std::string target = {};
    std::string last_event_id = {};
    std::string body = {};
    // Position on its connection, from 1, and the connection's number.
    int position = 0;
    int connection = 0;
  };
  // Reads a request from a connection.
  class Reader {
   public:
    explicit Reader(boost::asio::ip::tcp::socket& socket) : socket_(socket) {}
    // Reads the next request up to the end of its head. Returns false once the
    // connection is over.
    bool ReadHead();
    // Reads at least `bytes` of the body, as far as there are so many. Returns
    // whether all that is due has arrived.
    bool ReadBody(size_t bytes);
    Request request() const;

   private:
    using Parser =
        boost::beast::http::request_parser<boost::beast::http::string_body>;

    boost::asio::ip::tcp::socket& socket_;
    boost::beast::flat_buffer buffer_;
    std::optional<Parser> parser_;
  };
  // Writes the answer. Its methods block and do nothing once the connection is
  // closed.
  class Answer {
   public:
    Answer(boost::asio::ip::tcp::socket& socket, Reader& reader)
        : socket_(socket), reader_(reader) {}
    void Write(const std::string& bytes);
    void Pause(int64_t milliseconds);
    // Reads on to the end of the request's body. Returns whether it arrived.
    bool ReadRequest();
    // Ends the answer in order and leaves the connection open for reading.
    void EndWriting();
    // Ends the connection in order, or with a TCP reset.
    void Close();
    void Reset();
    // Closes the socket, which resets the connection if bytes of the request
    // are unread.
    void CloseUnread();
    bool open() const { return open_; }

   private:
    boost::asio::ip::tcp::socket& socket_;
    Reader& reader_;
    bool open_ = true;
  };
  using Script = std::function<void(const Request&, Answer&)>;
  struct Options {
    // The script runs once this much of a request's body has been read, or all
    // of it. Answer::ReadRequest() reads the rest.
    size_t body_bytes_first = std::numeric_limits<size_t>::max();
  };

  // Listens on a free port of loopback. `script` runs once a request, on a
  // thread of the request's connection.
  explicit ScriptedUpstream(Script script)
      : ScriptedUpstream(std::move(script), Options{}) {}
  ScriptedUpstream(Script script, Options options);
  // Closes all connections.
  ~ScriptedUpstream();

  std::string address() const;
  // All requests so far, in the order of their arrival.
  std::vector<Request> requests() const;
  size_t CountRequests(const std::string& id) const;

  // Header lines that each answer of an upstream has: the id of the request and
  // the stamp.
  static std::string AnswerFields(const Request& request);
  // One event of a stream.
  static std::string EventText(int id, const std::string& data);

 private:
  void Accept();
  void Serve(boost::asio::ip::tcp::socket& socket, int connection);

  Script script_;
  Options options_;
  boost::asio::io_context io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  mutable std::mutex mutex_;
  std::vector<Request> requests_;
  // Sockets stay at their addresses, since their threads use them.
  std::list<boost::asio::ip::tcp::socket> sockets_;
  std::vector<std::thread> threads_;
  bool stopping_ = false;
  std::thread acceptor_thread_;
};

}  // namespace pimento::testbed
