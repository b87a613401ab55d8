// Stand-ins for the cases of this review: the platform's store, engines and
// clients, in the process of the case, and the project's own programs as child
// processes with the commands of the deploy file.
//
// Each host has a loopback address of its own, 127.F.N.1. The store listens on
// one address per host, so that a case can let it turn single hosts away.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <boost/json.hpp>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

namespace json = boost::json;

inline int64_t NowMs() {
  using namespace std::chrono;
  return duration_cast<milliseconds>(steady_clock::now().time_since_epoch())
      .count();
}
inline void Pause(int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

// record.txt in the case's folder, and standard output.
class Record {
 public:
  void Open(const std::string& path) {
    file_ = std::fopen(path.c_str(), "w");
    began_ms_ = NowMs();
  }
  void Line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    char text[1024];
    va_list arguments;
    va_start(arguments, format);
    vsnprintf(text, sizeof text, format, arguments);
    va_end(arguments);
    const std::lock_guard lock(mutex_);
    const double at = static_cast<double>(NowMs() - began_ms_) / 1000;
    if (file_ != nullptr) {
      std::fprintf(file_, "%8.3f %s\n", at, text);
      std::fflush(file_);
    }
    std::printf("%8.3f %s\n", at, text);
    std::fflush(stdout);
  }

 private:
  std::mutex mutex_;
  FILE* file_ = nullptr;
  int64_t began_ms_ = 0;
};
inline Record record;

// ---- Sockets and HTTP ------------------------------------------------------

struct Message {
  // Method and target of a request; status of an answer, 0 when none came.
  std::string method = {};
  std::string target = {};
  int status = 0;
  // Names in lower case.
  std::map<std::string, std::string> headers = {};
  std::string body = {};
  // The whole message arrived.
  bool complete = false;
  // When the first byte was sent and when the end was received.
  int64_t sent_ms = 0;
  int64_t ended_ms = 0;

  std::string Header(const std::string& name) const {
    const auto it = headers.find(name);
    return it == headers.end() ? "" : it->second;
  }
};

class Connection {
 public:
  explicit Connection(int fd) : fd_(fd) {
    const int on = 1;
    setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  ~Connection() { Close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  void Close() {
    if (fd_ >= 0) close(fd_);
    fd_ = -1;
  }
  void Reset() {
    const linger now{.l_onoff = 1, .l_linger = 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    Close();
  }
  // Wakes a thread that reads from this connection.
  void Shutdown() { shutdown(fd_, SHUT_RDWR); }

  bool Write(const std::string& bytes) {
    size_t done = 0;
    while (done < bytes.size()) {
      const ssize_t n =
          send(fd_, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
      if (n <= 0) return false;
      done += static_cast<size_t>(n);
    }
    return true;
  }
  // False at the end, on an error and at the deadline.
  bool Fill(int64_t deadline_ms) {
    pollfd wait{.fd = fd_, .events = POLLIN, .revents = 0};
    const int64_t left = deadline_ms - NowMs();
    if (left <= 0 || poll(&wait, 1, static_cast<int>(left)) <= 0) return false;
    char piece[16384];
    const ssize_t n = recv(fd_, piece, sizeof piece, 0);
    if (n <= 0) return false;
    buffer_.append(piece, static_cast<size_t>(n));
    return true;
  }
  // True when the peer has closed the connection.
  bool PeerClosed() {
    char byte;
    const ssize_t n = recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  }

  // Reads a request (`answer` false) or an answer.
  Message Read(bool answer, int64_t deadline_ms) {
    Message message;
    size_t end;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos)
      if (!Fill(deadline_ms)) return message;
    ParseHead(buffer_.substr(0, end), answer, message);
    buffer_.erase(0, end + 4);
    if (message.Header("transfer-encoding") == "chunked") {
      message.complete = ReadChunks(message, deadline_ms);
    } else if (!message.Header("content-length").empty()) {
      const size_t size = std::stoul(message.Header("content-length"));
      while (buffer_.size() < size && Fill(deadline_ms)) {
      }
      message.complete = buffer_.size() >= size;
      message.body = buffer_.substr(0, size);
      buffer_.erase(0, size);
    } else if (answer) {
      while (Fill(deadline_ms)) {
      }
      message.body = std::move(buffer_);
      buffer_.clear();
      message.complete = true;
    } else {
      message.complete = true;
    }
    message.ended_ms = NowMs();
    return message;
  }

 private:
  static void ParseHead(const std::string& head, bool answer,
                        Message& message) {
    size_t at = head.find("\r\n");
    const std::string first = head.substr(0, at);
    const size_t space = first.find(' ');
    if (answer) {
      message.status = std::atoi(first.c_str() + space + 1);
    } else {
      message.method = first.substr(0, space);
      message.target =
          first.substr(space + 1, first.find(' ', space + 1) - space - 1);
    }
    while (at != std::string::npos) {
      const size_t next = head.find("\r\n", at + 2);
      const std::string line = head.substr(
          at + 2, next == std::string::npos ? next : next - at - 2);
      const size_t colon = line.find(':');
      if (colon != std::string::npos) {
        std::string name = line.substr(0, colon);
        for (char& c : name) c = static_cast<char>(tolower(c));
        const size_t value = line.find_first_not_of(' ', colon + 1);
        message.headers[name] =
            value == std::string::npos ? "" : line.substr(value);
      }
      at = next;
    }
  }
  bool ReadChunks(Message& message, int64_t deadline_ms) {
    for (;;) {
      size_t end;
      while ((end = buffer_.find("\r\n")) == std::string::npos)
        if (!Fill(deadline_ms)) return false;
      const size_t size = std::stoul(buffer_.substr(0, end), nullptr, 16);
      while (buffer_.size() < end + 2 + size + 2) {
        if (!Fill(deadline_ms)) {
          message.body += buffer_.substr(std::min(buffer_.size(), end + 2));
          return false;
        }
      }
      message.body += buffer_.substr(end + 2, size);
      buffer_.erase(0, end + 2 + size + 2);
      if (size == 0) return true;
    }
  }

  int fd_;
  std::string buffer_;
};

inline sockaddr_in Address(const std::string& text) {
  const size_t colon = text.find(':');
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port =
      htons(static_cast<uint16_t>(std::stoi(text.substr(colon + 1))));
  inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
  return address;
}

// A new connection, or null.
inline std::unique_ptr<Connection> Connect(const std::string& address,
                                           int64_t limit_ms = 1'000) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  timeval limit{.tv_sec = limit_ms / 1000, .tv_usec = limit_ms % 1000 * 1000};
  setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  const sockaddr_in to = Address(address);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0) {
    close(fd);
    return nullptr;
  }
  return std::make_unique<Connection>(fd);
}

// Listens on addresses; runs `serve` for each connection on a thread.
class Server {
 public:
  using Serve = std::function<void(Connection&, const std::string& address)>;
  explicit Server(Serve serve) : serve_(std::move(serve)) {}
  ~Server() { Stop(); }

  // False when the address is taken.
  bool Listen(const std::string& address) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in at = Address(address);
    if (bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 ||
        listen(fd, 256) != 0) {
      close(fd);
      return false;
    }
    listeners_.push_back(fd);
    threads_.emplace_back([this, fd, address] { Accept(fd, address); });
    return true;
  }
  // Closes all sockets and joins all threads.
  void Stop() {
    stopping_ = true;
    for (const int fd : listeners_) shutdown(fd, SHUT_RDWR);
    for (std::thread& thread : threads_) thread.join();
    threads_.clear();
    for (const int fd : listeners_) close(fd);
    listeners_.clear();
    {
      const std::lock_guard lock(mutex_);
      for (const auto& connection : connections_) connection->Shutdown();
    }
    while (open_ > 0) Pause(1);
  }
  bool stopping() const { return stopping_; }

 private:
  void Accept(int listener, const std::string& address) {
    for (;;) {
      const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0 && (stopping_ || errno == EINVAL || errno == EBADF)) return;
      if (fd < 0) continue;
      if (stopping_) {
        close(fd);
        return;
      }
      auto connection = std::make_shared<Connection>(fd);
      {
        const std::lock_guard lock(mutex_);
        connections_.insert(connection);
      }
      ++open_;
      std::thread([this, connection, address] {
        serve_(*connection, address);
        {
          const std::lock_guard lock(mutex_);
          connections_.erase(connection);
          connection->Close();
        }
        --open_;
      }).detach();
    }
  }

  Serve serve_;
  std::atomic<bool> stopping_ = false;
  std::atomic<int> open_ = 0;
  std::vector<int> listeners_;
  std::vector<std::thread> threads_;
  std::mutex mutex_;
  std::set<std::shared_ptr<Connection>> connections_;
};

inline std::string Response(int status, const std::string& headers,
                            const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// ---- The platform's store --------------------------------------------------

class Store {
 public:
  // How the store treats the calls of one host.
  enum class Mode { kServe, kBusy };

  Store() : server_([this](Connection& c, const std::string& at) {
              Serve(c, at);
            }) {}
  ~Store() { Stop(); }
  bool Listen(const std::string& address) { return server_.Listen(address); }
  void Stop() {
    {
      const std::lock_guard lock(mutex_);
      stopping_ = true;
    }
    changed_.notify_all();
    server_.Stop();
  }
  // Turns away (503) or serves the calls that come to `address`. Watches that
  // wait there are ended.
  void SetMode(const std::string& address, Mode mode) {
    {
      const std::lock_guard lock(mutex_);
      modes_[address] = mode;
    }
    changed_.notify_all();
  }
  // Creates or replaces an object, as the operator or an engine does. `spec` is
  // kept as it is, byte by byte. Returns the time of the acknowledgement.
  int64_t Put(const std::string& kind, const std::string& name,
              const std::string& spec) {
    {
      const std::lock_guard lock(mutex_);
      Object& object = kinds_[kind][name];
      if (object.revision != 0 && object.spec == spec) return NowMs();
      object.spec = spec;
      Changed(kind, name, object, false);
    }
    changed_.notify_all();
    return NowMs();
  }
  int64_t Delete(const std::string& kind, const std::string& name) {
    {
      const std::lock_guard lock(mutex_);
      Object& object = kinds_[kind][name];
      Changed(kind, name, object, true);
      kinds_[kind].erase(name);
    }
    changed_.notify_all();
    return NowMs();
  }
  std::string Spec(const std::string& kind, const std::string& name) {
    const std::lock_guard lock(mutex_);
    const auto it = kinds_[kind].find(name);
    return it == kinds_[kind].end() ? "" : it->second.spec;
  }
  std::string Status(const std::string& kind, const std::string& name) {
    const std::lock_guard lock(mutex_);
    const auto it = kinds_[kind].find(name);
    return it == kinds_[kind].end() ? "" : it->second.status;
  }

 private:
  static constexpr int64_t kAnswerMs = 4;
  struct Object {
    uint64_t revision = 0;
    uint64_t created = 0;
    std::string spec = "null";
    std::string status = "null";
  };
  struct Change {
    uint64_t revision = 0;
    std::string kind;
    std::string text;
  };

  static std::string Text(const std::string& name, const Object& object) {
    return "{\"metadata\":{\"name\":\"" + name +
           "\",\"revision\":" + std::to_string(object.revision) +
           ",\"created\":" + std::to_string(object.created) +
           ",\"finalizers\":[],\"deleting\":false},\"spec\":" + object.spec +
           ",\"status\":" + object.status + "}";
  }
  // The caller holds the lock.
  void Changed(const std::string& kind, const std::string& name, Object& object,
               bool deleted) {
    object.revision = ++revision_;
    if (object.created == 0) object.created = revision_;
    history_.push_back(
        {revision_, kind,
         std::string("{\"deleted\":") + (deleted ? "true" : "false") +
             ",\"object\":" + Text(name, object) + "}"});
  }
  void Serve(Connection& connection, const std::string& address) {
    for (;;) {
      const Message call = connection.Read(false, NowMs() + 60'000);
      if (!call.complete) return;
      Pause(kAnswerMs);
      const std::string answer = Answer(call, address);
      if (answer.empty() || !connection.Write(answer)) return;
    }
  }
  std::string Answer(const Message& call, const std::string& address) {
    std::unique_lock lock(mutex_);
    const auto busy = [&] { return modes_[address] == Mode::kBusy; };
    if (busy()) return Response(503, "", "{}");
    const std::string prefix = "/-/objects/";
    const size_t question = call.target.find('?');
    std::string path = call.target.substr(0, question);
    if (!path.starts_with(prefix)) return Response(404, "", "{}");
    path.erase(0, prefix.size());
    const std::string query =
        question == std::string::npos ? "" : call.target.substr(question + 1);
    const size_t slash = path.find('/');
    const std::string kind = path.substr(0, slash);
    std::string name =
        slash == std::string::npos ? "" : path.substr(slash + 1);
    auto& objects = kinds_[kind];
    if (call.method == "GET" && !Field(query, "watch").empty()) {
      const uint64_t since = std::stoull(Field(query, "watch"));
      const std::string wait = Field(query, "wait_ms");
      const auto until =
          std::chrono::steady_clock::now() +
          std::chrono::milliseconds(wait.empty() ? 0 : std::stoll(wait));
      std::string events;
      for (;;) {
        if (stopping_) return "";
        if (busy()) return Response(503, "", "{}");
        for (const Change& change : history_) {
          if (change.kind != kind || change.revision <= since) continue;
          events += (events.empty() ? "" : ",") + change.text;
        }
        if (!events.empty() || std::chrono::steady_clock::now() >= until) break;
        changed_.wait_until(lock, until);
      }
      return Json("{\"events\":[" + events +
                  "],\"store_revision\":" + std::to_string(revision_) + "}");
    }
    if (call.method == "GET" && name.empty()) {
      std::string items;
      for (const auto& [key, object] : objects) {
        if (key <= Field(query, "after")) continue;
        items += (items.empty() ? "" : ",") + Text(key, object);
      }
      return Json("{\"items\":[" + items + "],\"more\":false,"
                  "\"store_revision\":" + std::to_string(revision_) + "}");
    }
    const bool status_only = name.ends_with("/status");
    if (status_only) name.erase(name.size() - strlen("/status"));
    json::object body;
    if (!call.body.empty()) body = json::parse(call.body).as_object();
    std::string wanted = Field(query, "revision");
    if (const auto* metadata = body.if_contains("metadata")) {
      if (call.method == "POST")
        name = std::string(metadata->at("name").as_string());
      if (const auto* at = metadata->as_object().if_contains("revision"))
        wanted = std::to_string(at->to_number<uint64_t>());
    }
    const auto it = objects.find(name);
    if (call.method == "POST") {
      if (it != objects.end()) return Json(Text(name, it->second), 409);
      Object& object = objects[name];
      if (body.contains("spec")) object.spec = json::serialize(body["spec"]);
      Changed(kind, name, object, false);
      changed_.notify_all();
      return Json(Text(name, object));
    }
    if (it == objects.end()) return Json("{}", 404);
    if (call.method == "GET") return Json(Text(name, it->second));
    if (!wanted.empty() && wanted != std::to_string(it->second.revision))
      return Json(Text(name, it->second), 409);
    if (call.method == "DELETE") {
      Changed(kind, name, it->second, true);
      objects.erase(it);
      changed_.notify_all();
      return Json("{}");
    }
    std::string& part = status_only ? it->second.status : it->second.spec;
    const std::string next =
        json::serialize(body[status_only ? "status" : "spec"]);
    if (part != next) {
      part = next;
      Changed(kind, name, it->second, false);
      changed_.notify_all();
    }
    return Json(Text(name, it->second));
  }
  static std::string Json(const std::string& body, int status = 200) {
    return Response(status, "Content-Type: application/json\r\n", body);
  }
  static std::string Field(const std::string& query, const std::string& name) {
    size_t at = 0;
    while (at < query.size()) {
      size_t end = query.find('&', at);
      if (end == std::string::npos) end = query.size();
      const std::string pair = query.substr(at, end - at);
      if (pair.starts_with(name + "=")) return pair.substr(name.size() + 1);
      at = end + 1;
    }
    return "";
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, std::map<std::string, Object>> kinds_;
  std::deque<Change> history_;
  uint64_t revision_ = 1;
  std::map<std::string, Mode> modes_;
  bool stopping_ = false;
  Server server_;
};

// ---- Engines ---------------------------------------------------------------

struct Arrival {
  int64_t at_ms = 0;
  Message request;
};

// An engine that registers itself in the store. It refuses (421) what names
// another instance; all else goes to `script`, which writes the answer.
class Engine {
 public:
  using Script = std::function<void(Engine&, const Message&, Connection&)>;
  struct Options {
    std::string id;
    std::string service;
    std::string address;
    std::string zone;
    int64_t slots = 16;
    int64_t cold_left_ms = 0;
  };
  Engine(Store& store, Options options, Script script)
      : store_(store),
        options_(std::move(options)),
        script_(std::move(script)),
        server_([this](Connection& c, const std::string&) { Serve(c); }) {
    if (!server_.Listen(options_.address)) {
      std::fprintf(stderr, "The address %s is taken.\n",
                   options_.address.c_str());
      exit(2);
    }
    born_ms_ = std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
                   .count();
  }
  ~Engine() { Stop(); }
  void Stop() { server_.Stop(); }

  // Writes the engine's entry; returns the time of the acknowledgement.
  int64_t Register(const std::string& state = "ready") {
    leaving_ = state == "draining";
    json::object spec = {{"service", options_.service},
                         {"addr", options_.address},
                         {"zone", options_.zone},
                         {"version", "v1"},
                         {"slots", options_.slots},
                         {"state", state},
                         {"cold_left_ms", options_.cold_left_ms},
                         {"sequence", ++sequence_},
                         {"born", born_ms_}};
    return store_.Put("servers", options_.id, json::serialize(spec));
  }
  int64_t Unregister() { return store_.Delete("servers", options_.id); }

  std::vector<Arrival> arrivals() {
    const std::lock_guard lock(mutex_);
    return arrivals_;
  }
  const std::string& id() const { return options_.id; }
  // Header lines that each answer to `request` has.
  std::string Lines(const Message& request) const {
    return "X-Pimentopulley-Request-Id: " +
           request.Header("x-pimentopulley-request-id") +
           "\r\nX-Pimentopulley-Server-Stamp: stamp." + options_.id + "\r\n" +
           (leaving_ ? "Server-Leaving: 1\r\n" : "");
  }
  static std::string Event(int id, const std::string& data) {
    return "id: " + std::to_string(id) + "\ndata: " + data + "\n\n";
  }
  static std::string Chunk(const std::string& bytes) {
    char size[32];
    snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
  }
  // A whole stream of `events` events, in chunks.
  void Stream(const Message& request, Connection& connection, int events,
              int64_t gap_ms, const std::string& text) {
    connection.Write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" +
                     Lines(request) + "Transfer-Encoding: chunked\r\n\r\n");
    for (int i = 1; i <= events; ++i) {
      Pause(gap_ms);
      if (!connection.Write(
              Chunk(Event(i, text + "." + std::to_string(i)))))
        return;
    }
    connection.Write("0\r\n\r\n");
  }
  void Plain(const Message& request, Connection& connection, int64_t work_ms,
             const std::string& body) {
    Pause(work_ms);
    connection.Write(Response(200, Lines(request), body));
  }

 private:
  void Serve(Connection& connection) {
    for (;;) {
      Message request = connection.Read(false, NowMs() + 15'000);
      if (!request.complete) return;
      if (request.target == "/healthz") {
        connection.Write(Response(
            leaving_ ? 503 : 200,
            "X-Pimentopulley-Instance: " + options_.id + "\r\n", ""));
        continue;
      }
      const std::string expected =
          request.Header("x-pimentopulley-expect-instance");
      if (!expected.empty() && expected != options_.id) {
        connection.Write(Response(421, "X-Pimentopulley-Not-Run: 1\r\n" +
                                           Lines(request), ""));
        continue;
      }
      {
        const std::lock_guard lock(mutex_);
        arrivals_.push_back({NowMs(), request});
      }
      script_(*this, request, connection);
    }
  }

  Store& store_;
  Options options_;
  Script script_;
  std::mutex mutex_;
  std::vector<Arrival> arrivals_;
  std::atomic<bool> leaving_ = false;
  std::atomic<int64_t> sequence_ = 0;
  int64_t born_ms_ = 0;
  Server server_;
};

// ---- The fleet -------------------------------------------------------------

// Ports are the same on all hosts.
constexpr int kFrontPort = 8368;
constexpr int kReadyPort = 8369;
constexpr int kDirectoryPort = 8360;
constexpr int kStorePort = 8362;
constexpr int kEnginePort = 8080;

class Fleet {
 public:
  Fleet(const std::string& root, const std::string& dir)
      : root_(root), dir_(dir) {
    // A loopback range in which nothing listens.
    for (int i = 0;; ++i) {
      number_ = 20 + (static_cast<int>(getpid()) + i) % 200;
      const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      const sockaddr_in at = Address(Host(200) + ":" +
                                     std::to_string(kStorePort));
      const int taken =
          bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at);
      close(fd);
      if (taken == 0) break;
      if (i > 100) exit(2);
    }
  }
  ~Fleet() {
    for (const auto& [name, pid] : std::map<std::string, pid_t>(pids_))
      Kill(name);
    store.Stop();
  }

  // IP address of host number `host`, 1 to 250.
  std::string Host(int host) const {
    return "127." + std::to_string(number_) + "." + std::to_string(host) +
           ".1";
  }
  std::string Front(const std::string& name) const {
    return Host(hosts_.at(name)) + ":" + std::to_string(kFrontPort);
  }
  std::string StoreAddress(const std::string& name) const {
    return Host(hosts_.at(name)) + ":" + std::to_string(kStorePort);
  }
  std::string EngineAddress(int host) const {
    return Host(host) + ":" + std::to_string(kEnginePort);
  }

  // Adds a host with its settings file; it is not started.
  void AddHost(const std::string& name, int host, const std::string& zone) {
    hosts_[name] = host;
    zones_[name] = zone;
    if (!store.Listen(StoreAddress(name))) exit(2);
  }
  // Starts the program of a host, with the command of the deploy file.
  void Start(const std::string& name, bool bootstrap) {
    const bool gateway = name.starts_with("front");
    WriteSettings(name, gateway, bootstrap);
    const std::string program =
        gateway ? "target/bin/pimento-gateway" : "target/bin/pimento-archive";
    const std::string log = dir_ + "/" + name + ".log";
    const std::string settings =
        "PIMENTOPULLEY_SETTINGS=" + dir_ + "/" + name + ".conf";
    const pid_t pid = fork();
    if (pid == 0) {
      // Ends with the case, also if the case is killed.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (chdir(root_.c_str()) != 0) _exit(127);
      const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(out, 1);
      dup2(out, 2);
      const char* path = getenv("PATH");
      const std::string path_line =
          std::string("PATH=") + (path == nullptr ? "" : path);
      char* arguments[] = {const_cast<char*>(program.c_str()), nullptr};
      char* environment[] = {const_cast<char*>(settings.c_str()),
                             const_cast<char*>(path_line.c_str()), nullptr};
      execve(program.c_str(), arguments, environment);
      _exit(127);
    }
    pids_[name] = pid;
  }
  void Signal(const std::string& name, int number) {
    if (pids_.contains(name)) kill(pids_[name], number);
  }
  void Kill(const std::string& name) {
    if (!pids_.contains(name)) return;
    kill(pids_[name], SIGKILL);
    waitpid(pids_[name], nullptr, 0);
    pids_.erase(name);
  }
  // Waits until the process has ended by itself; kills it at the limit.
  void AwaitEnd(const std::string& name, int64_t limit_ms) {
    for (int64_t waited = 0; waited < limit_ms; waited += 10, Pause(10)) {
      if (waitpid(pids_[name], nullptr, WNOHANG) == pids_[name]) {
        pids_.erase(name);
        return;
      }
    }
    Kill(name);
  }
  bool Ready(const std::string& name) const {
    auto connection = Connect(Host(hosts_.at(name)) + ":" +
                              std::to_string(kReadyPort), 300);
    if (!connection) return false;
    connection->Write("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n");
    return connection->Read(true, NowMs() + 500).status == 200;
  }
  bool AwaitReady(const std::string& name, int64_t limit_ms) const {
    const int64_t until = NowMs() + limit_ms;
    while (NowMs() < until) {
      if (Ready(name)) return true;
      Pause(20);
    }
    return false;
  }
  std::string Log(const std::string& name) const {
    std::ifstream in(dir_ + "/" + name + ".log");
    return {std::istreambuf_iterator<char>(in), {}};
  }

  Store store;
  // The setting tolerate.machines.
  int tolerated_machines = 1;

 private:
  void WriteSettings(const std::string& name, bool gateway, bool bootstrap) {
    const std::string ip = Host(hosts_.at(name));
    const std::string zone = zones_.at(name);
    std::ofstream out(dir_ + "/" + name + ".conf");
    out << "node=" << name << "\nrole=" << (gateway ? "gateway" : "archive")
        << "\nclass=" << (gateway ? "front" : "storage")
        << "\nserves=" << (gateway ? "front,directory" : "storage")
        << "\nip=" << ip << "\nzone=" << zone << "\nregion=area\n"
        << "zones.zone-a=area\nzones.zone-b=area\nzones.zone-c=area\n";
    if (gateway)
      out << "listen.front=" << ip << ":" << kFrontPort
          << "\nlisten.ready=" << ip << ":" << kReadyPort
          << "\nlisten.directory=" << ip << ":" << kDirectoryPort << "\n";
    else
      out << "data_dir=" << dir_ << "/" << name << ".data\n";
    out << "port_range=7780,7795\n"
        << "bootstrap=" << (bootstrap ? "true" : "false") << "\n"
        << "fault_counted=" << (gateway ? "false" : "true") << "\n"
        << "limits.cpu_share=0.25\nlimits.cores=1\n"
        << "limits.memory_mb=" << (gateway ? 110 : 130) << "\n"
        << "limits.max_fds=" << (gateway ? 4100 : 8200) << "\n"
        << "limits.disk_mb=" << (gateway ? 0 : 390) << "\n"
        << "discovery=platform\nentry=directory\nheartbeat_interval_ms=1200\n"
        << "contracts=base,drain,config,cost,recover,agent,stream,engine,"
           "tenants,quota,places,platform\n"
        << "tolerate.machines=" << tolerated_machines
        << "\ntolerate.zones=1\ntolerate.regions=0\n"
        << "bounds.stability_window_ms=3000\nbounds.ack_ms=4000\n"
        << "bounds.catch_up_s=4.5\nbounds.drain_ms=2000\nbounds.grace_s=8\n"
        << "bounds.loss_slack_ms=200\nbounds.config_propagation_ms=2000\n"
        << "bounds.rollback_slack_ms=250\nbounds.outer_ms=5000\n"
        << "bounds.strict_revoke=true\nbounds.revoke_ms=5000\n"
        << "bounds.quota_window_s=5\nbounds.quota_tolerance=0.1\n"
        << "bounds.quota_slack=20\nbounds.cold_over=1.5\nbounds.cold_slack=5\n"
        << "bounds.evac_ms=5000\nbounds.recover_s=12\nbounds.pass_ms=120\n"
        << "bounds.retry_after_s=0\nbounds.deadline_s=10\n"
        << "bounds.settle_ms=1000\nbounds.ttl_max_s=5\n"
        << "platform.addr=" << StoreAddress(name) << "\n"
        << "platform.form=objects\nplatform.writes_per_s=400\n"
        << "platform.reads_per_s=2000\nplatform.history_s=20\n"
        << "platform.value_bytes=1048576\nplatform.ttl_min_ms=1000\n";
  }

  std::string root_;
  std::string dir_;
  int number_ = 0;
  std::map<std::string, int> hosts_;
  std::map<std::string, std::string> zones_;
  std::map<std::string, pid_t> pids_;
};

// ---- Clients ---------------------------------------------------------------

// One request on a new connection. `headers` are whole lines with line ends.
inline Message Request(const std::string& address, const std::string& method,
                       const std::string& target, const std::string& headers,
                       const std::string& body, int64_t limit_ms) {
  Message answer;
  auto connection = Connect(address);
  const int64_t sent_ms = NowMs();
  if (connection) {
    connection->Write(method + " " + target +
                      " HTTP/1.1\r\nHost: x.example\r\n" + headers +
                      "X-Pimentopulley-Deadline-Ms: " +
                      std::to_string(limit_ms) + "\r\nContent-Length: " +
                      std::to_string(body.size()) + "\r\n\r\n" + body);
    answer = connection->Read(true, NowMs() + limit_ms + 1'000);
  }
  answer.sent_ms = sent_ms;
  answer.ended_ms = NowMs();
  return answer;
}
inline std::string IdLine(const std::string& id) {
  return "X-Pimentopulley-Request-Id: " + id + "\r\n";
}
inline std::string KeyLine(const std::string& key) {
  return "Authorization: Token " + key + "\r\n";
}

// ---- The desired state -----------------------------------------------------

struct Tenant {
  std::string name;
  std::vector<std::string> keys;
};

// Routes: /kept/ (streaming, keeps its context), /resumed/ (streaming, may be
// resumed), /status/ (idempotent) and /charge/ (non_idempotent); services
// "talk" and "desk".
inline std::string DesiredState(int64_t version,
                                const std::vector<Tenant>& tenants,
                                double desk_cold_per_s = 0) {
  const auto route = [](const char* name, const char* kind,
                        const char* service) {
    return json::object{{"name", name},
                        {"host", "x.example"},
                        {"path_prefix", std::string("/") + name + "/"},
                        {"kind", kind},
                        {"timeout_ms", 3000},
                        {"slo_ms", 400},
                        {"priority", 0},
                        {"service", service},
                        {"attempts", 2},
                        {"keep_context", false},
                        {"retain_s", 60.0},
                        {"anonymous", false},
                        {"sticky", false},
                        {"can_resume", false}};
  };
  json::object kept = route("kept", "streaming", "talk");
  kept["keep_context"] = true;
  kept["sticky"] = true;
  json::object resumed = route("resumed", "streaming", "talk");
  resumed["can_resume"] = true;
  resumed["sticky"] = true;
  json::array list;
  for (const Tenant& tenant : tenants) {
    json::array keys;
    for (const std::string& key : tenant.keys) keys.emplace_back(key);
    list.push_back(json::object{{"name", tenant.name},
                                {"api_keys", keys},
                                {"priority", 1},
                                {"rate_per_s", 0},
                                {"burst", 0}});
  }
  const json::object talk = {{"name", "talk"},
                             {"health_path", "/healthz"},
                             {"max_conns", 160},
                             {"cold_start_s", 3.0},
                             {"cold_per_s", 0.0},
                             {"engine", {{"slots", 16}, {"chunk_tokens", 12}}}};
  const json::object desk = {{"name", "desk"},
                             {"health_path", "/healthz"},
                             {"max_conns", 160},
                             {"cold_start_s", desk_cold_per_s > 0 ? 30.0 : 0.0},
                             {"cold_per_s", desk_cold_per_s}};
  return json::serialize(json::object{
      {"version", version},
      {"routes", {kept, resumed, route("status", "idempotent", "desk"),
                  route("charge", "non_idempotent", "desk")}},
      {"services", {talk, desk}},
      {"limits", {{"max_header_bytes", 16384},
                  {"max_body_bytes", 4194304},
                  {"header_timeout_ms", 3000},
                  {"idle_timeout_ms", 15000}}},
      {"tenants", list}});
}

// Header lines of a turn.
inline std::string TurnLines(const std::string& id, const std::string& program,
                             const std::string& previous,
                             const std::string& key) {
  return IdLine(id) + KeyLine(key) + "X-Pimentopulley-Program-Id: " + program +
         "\r\nX-Pimentopulley-Session-Id: s" + program +
         "\r\nX-Pimentopulley-Finish-Ms: 20000" +
         "\r\nX-Pimentopulley-Token-Budget: 20000" +
         "\r\nX-Pimentopulley-Token-Count: 500,300\r\n" +
         (previous.empty()
              ? ""
              : "X-Pimentopulley-Previous-Turn: " + previous + "\r\n");
}

// ---- A case ----------------------------------------------------------------

struct Case {
  std::string root;
  std::string dir;
  bool trouble = true;
};

// Runs the case; the exit code is 0 if the rule held, 1 if it was broken and 2
// if the case could not run. Arguments: root of the repository, folder of the
// case, temporary folder.
inline int RunCase(int argc, char** argv,
                   const std::function<int(const Case&)>& run) {
  if (argc != 4) return 2;
  signal(SIGPIPE, SIG_IGN);
  const char* trouble = getenv("TROUBLE");
  record.Open(std::string(argv[2]) + "/record.txt");
  const Case options{argv[1], argv[3],
                     trouble == nullptr || std::string(trouble) != "0"};
  record.Line("%s", options.trouble ? "with the disruption"
                                    : "TROUBLE=0: without the disruption");
  int code = 2;
  try {
    code = run(options);
  } catch (const std::exception& e) {
    record.Line("The case could not run: %s", e.what());
  }
  record.Line("exit code %d: %s", code,
              code == 0   ? "the rule held"
              : code == 1 ? "the rule was broken"
                          : "the case could not run");
  return code;
}

}  // namespace review
