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
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
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
  // Writes the answer. Its methods block and do nothing once the connection is
  // closed.
  class Answer {
   public:
    explicit Answer(boost::asio::ip::tcp::socket& socket) : socket_(socket) {}
    void Write(const std::string& bytes);
    void Pause(int64_t milliseconds);
    // Ends the connection in order, or with a TCP reset.
    void Close();
    void Reset();
    bool open() const { return open_; }

   private:
    boost::asio::ip::tcp::socket& socket_;
    bool open_ = true;
  };
  using Script = std::function<void(const Request&, Answer&)>;

  // Listens on a free port of loopback. `script` runs once a request, on a
  // thread of the request's connection.
  explicit ScriptedUpstream(Script script);
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
