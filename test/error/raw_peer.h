// A peer that a test writes byte by byte, on one connection of loopback.
//
//   RawPeer peer([](RawPeer::Connection& connection) {
//     connection.Read(1'024);
//     connection.Write("HTTP/1.1 200 OK\r\n\r\npart");
//     connection.Reset();
//   });
//   Fetch({.address = peer.address(), ...});
#pragma once

#include <boost/asio.hpp>
#include <chrono>
#include <functional>
#include <string>
#include <thread>
#include <utility>

namespace pimento {

class RawPeer {
 public:
  using Socket = boost::asio::ip::tcp::socket;

  // The peer's end of the connection. Its methods block, and do nothing once
  // the connection is over.
  class Connection {
   public:
    explicit Connection(Socket& socket) : socket_(socket) {}
    // Reads at most `bytes`.
    void Read(size_t bytes) {
      std::string read(bytes, '\0');
      boost::system::error_code ignored;  // the other end may be gone
      socket_.read_some(boost::asio::buffer(read), ignored);
    }
    // Reads until the other end closes.
    void ReadToEnd() {
      std::string read(64 * 1024, '\0');
      boost::system::error_code error;
      while (!error) socket_.read_some(boost::asio::buffer(read), error);
    }
    // Reads until `bytes` have arrived, or the other end closes.
    void ReadAll(size_t bytes) {
      std::string read(bytes, '\0');
      boost::system::error_code ignored;
      boost::asio::read(socket_, boost::asio::buffer(read), ignored);
    }
    void Write(const std::string& bytes) {
      boost::system::error_code ignored;
      boost::asio::write(socket_, boost::asio::buffer(bytes), ignored);
    }
    void Pause(int64_t milliseconds) {
      std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
    }
    // Ends what it writes, in order, and leaves the connection open.
    void EndWriting() {
      boost::system::error_code ignored;
      socket_.shutdown(Socket::shutdown_send, ignored);
    }
    void Reset() {
      boost::system::error_code ignored;
      socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
      socket_.close(ignored);
    }
    // Resets the connection if bytes are unread.
    void Close() {
      boost::system::error_code ignored;
      socket_.close(ignored);
    }

   private:
    Socket& socket_;
  };
  using Script = std::function<void(Connection&)>;

  explicit RawPeer(Script script)
      : thread_([this, script = std::move(script)] { Serve(script); }) {}
  // Waits for the end of the script, so the test must have connected.
  ~RawPeer() { thread_.join(); }
  RawPeer(const RawPeer&) = delete;
  RawPeer& operator=(const RawPeer&) = delete;

  boost::asio::ip::tcp::endpoint endpoint() const {
    return acceptor_.local_endpoint();
  }
  std::string address() const {
    return "127.0.0.1:" + std::to_string(endpoint().port());
  }

 private:
  void Serve(const Script& script) {
    Socket socket(io_);
    boost::system::error_code error;
    acceptor_.accept(socket, error);
    Connection connection(socket);
    if (!error) script(connection);
  }

  boost::asio::io_context io_;
  boost::asio::ip::tcp::acceptor acceptor_{
      io_, boost::asio::ip::tcp::endpoint(
               boost::asio::ip::make_address("127.0.0.1"), 0)};
  std::thread thread_;
};

}  // namespace pimento
