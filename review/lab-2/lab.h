// Stand-ins and helpers of the scripts of this review: the platform's store,
// model engines, clients, and the start and end of the system's own programs.
// All of it speaks what PROTOCOL.md and DEPLOY.md say, and behaves as a sound
// store, engine, client or platform where they say nothing.
#pragma once

#include <arpa/inet.h>
#include <dirent.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <boost/json.hpp>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace lab {

namespace json = boost::json;
using Headers = std::map<std::string, std::string>;  // names in lower case

inline int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}
inline void SleepMs(int64_t ms) {
  if (ms > 0) std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

// record.txt in the folder of the case.
class Record {
 public:
  static Record& Get() {
    static Record record;
    return record;
  }
  void Open(const std::string& path) { out_.open(path, std::ios::trunc); }
  void Line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    char text[2048];
    va_list list;
    va_start(list, format);
    vsnprintf(text, sizeof text, format, list);
    va_end(list);
    std::lock_guard lock(mutex_);
    char time[32];
    snprintf(time, sizeof time, "%8.3f  ",
             static_cast<double>(NowMs() - start_ms_) / 1000);
    out_ << time << text << "\n" << std::flush;
  }

 private:
  std::mutex mutex_;
  std::ofstream out_;
  int64_t start_ms_ = NowMs();
};
#define REC(...) ::lab::Record::Get().Line(__VA_ARGS__)

// ---------------------------------------------------------------- sockets

inline sockaddr_in AddressOf(const std::string& text) {
  sockaddr_in address{};
  const size_t colon = text.find(':');
  address.sin_family = AF_INET;
  inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
  address.sin_port = htons(static_cast<uint16_t>(atoi(text.c_str() + colon + 1)));
  return address;
}

// A blocking connection with a deadline for reads.
class Connection {
 public:
  explicit Connection(int fd) : fd_(fd) {
    const int on = 1;
    setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  ~Connection() {
    if (fd_ >= 0) close(fd_);
  }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  bool Write(const std::string& bytes) {
    size_t done = 0;
    while (done < bytes.size()) {
      const ssize_t sent = send(fd_, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
      if (sent <= 0) return false;
      done += static_cast<size_t>(sent);
    }
    return true;
  }
  // False at the end of the connection or of the time.
  bool Fill(int64_t until_ms) {
    pollfd wanted{fd_, POLLIN, 0};
    const int64_t left = until_ms - NowMs();
    if (left <= 0 || poll(&wanted, 1, static_cast<int>(std::min<int64_t>(left, 1 << 30))) <= 0)
      return false;
    char piece[65536];
    const ssize_t got = recv(fd_, piece, sizeof piece, 0);
    if (got <= 0) {
      ended_ = true;
      return false;
    }
    buffer_.append(piece, static_cast<size_t>(got));
    return true;
  }
  bool ReadHead(std::string& head, int64_t until_ms) {
    for (;;) {
      const size_t end = buffer_.find("\r\n\r\n");
      if (end != std::string::npos) {
        head = buffer_.substr(0, end + 2);
        buffer_.erase(0, end + 4);
        return true;
      }
      if (!Fill(until_ms)) return false;
    }
  }
  bool ReadExactly(size_t size, std::string& out, int64_t until_ms) {
    while (buffer_.size() < size)
      if (!Fill(until_ms)) return false;
    out.append(buffer_, 0, size);
    buffer_.erase(0, size);
    return true;
  }
  bool ReadLine(std::string& line, int64_t until_ms) {
    for (;;) {
      const size_t end = buffer_.find("\r\n");
      if (end != std::string::npos) {
        line = buffer_.substr(0, end);
        buffer_.erase(0, end + 2);
        return true;
      }
      if (!Fill(until_ms)) return false;
    }
  }
  // Chunked, with a length, or none; false when it broke off.
  bool ReadBody(const Headers& headers, std::string& body, int64_t until_ms, bool to_end) {
    const auto coding = headers.find("transfer-encoding");
    if (coding != headers.end()) {
      for (;;) {
        std::string line;
        if (!ReadLine(line, until_ms)) return false;
        const size_t size = strtoul(line.c_str(), nullptr, 16);
        if (!ReadExactly(size, body, until_ms)) return false;
        if (!ReadLine(line, until_ms)) return false;
        if (size == 0) return true;
      }
    }
    const auto length = headers.find("content-length");
    if (length != headers.end())
      return ReadExactly(strtoul(length->second.c_str(), nullptr, 10), body, until_ms);
    if (!to_end) return true;
    while (Fill(until_ms)) {
    }
    body += buffer_;
    return ended_;
  }
  int fd() const { return fd_; }

 private:
  int fd_;
  std::string buffer_;
  bool ended_ = false;
};

inline Headers ParseHeaders(const std::string& head, std::string& first) {
  Headers headers;
  size_t at = head.find("\r\n");
  first = head.substr(0, at);
  while (at != std::string::npos && at + 2 < head.size()) {
    const size_t next = head.find("\r\n", at + 2);
    const std::string line = head.substr(at + 2, next - at - 2);
    const size_t colon = line.find(':');
    if (colon != std::string::npos) {
      std::string name = line.substr(0, colon);
      for (char& c : name) c = static_cast<char>(tolower(c));
      size_t from = colon + 1;
      while (from < line.size() && line[from] == ' ') ++from;
      headers[name] = line.substr(from);
    }
    at = next;
  }
  return headers;
}

struct Request {
  std::string method, target, body;
  Headers headers;
  std::string Header(const std::string& name) const {
    const auto it = headers.find(name);
    return it == headers.end() ? "" : it->second;
  }
};

// A server with a thread for each connection. The handler writes the answer;
// it returns false to close the connection.
class Server {
 public:
  using Handler = std::function<bool(const Request&, Connection&)>;
  Server(const std::string& address, Handler handler) : handler_(std::move(handler)) {
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in name = AddressOf(address);
    if (bind(fd_, reinterpret_cast<sockaddr*>(&name), sizeof name) != 0 || listen(fd_, 512) != 0)
      throw std::runtime_error("cannot listen on " + address);
    std::thread([this] { Accept(); }).detach();
  }

 private:
  void Accept() {
    for (;;) {
      const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        SleepMs(5);
        continue;
      }
      std::thread([this, fd] {
        Connection connection(fd);
        for (;;) {
          std::string head;
          if (!connection.ReadHead(head, NowMs() + 60'000)) return;
          Request request;
          std::string first;
          request.headers = ParseHeaders(head, first);
          std::istringstream words(first);
          words >> request.method >> request.target;
          if (!connection.ReadBody(request.headers, request.body, NowMs() + 10'000, false)) return;
          if (!handler_(request, connection)) return;
        }
      }).detach();
    }
  }
  Handler handler_;
  int fd_;
};

inline bool Respond(Connection& connection, int status, const std::string& body,
                    const std::string& extra = "") {
  return connection.Write("HTTP/1.1 " + std::to_string(status) + " X\r\n" + extra +
                          "Content-Type: application/json\r\nContent-Length: " +
                          std::to_string(body.size()) + "\r\n\r\n" + body);
}

// ----------------------------------------------------------------- clients

struct Answer {
  int status = 0;  // 0: no answer
  bool complete = false;
  Headers headers;
  std::string body;
};

inline std::unique_ptr<Connection> Dial(const std::string& address, int64_t limit_ms) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in name = AddressOf(address);
  fcntl(fd, F_SETFL, O_NONBLOCK);
  connect(fd, reinterpret_cast<sockaddr*>(&name), sizeof name);
  pollfd wanted{fd, POLLOUT, 0};
  int error = 1;
  socklen_t size = sizeof error;
  const bool ready = poll(&wanted, 1, static_cast<int>(limit_ms)) == 1;
  getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
  if (!ready || error != 0) {
    close(fd);
    return nullptr;
  }
  fcntl(fd, F_SETFL, 0);
  return std::make_unique<Connection>(fd);
}

inline Answer Send(const std::string& address, const std::string& method,
                   const std::string& target, const Headers& headers, const std::string& body,
                   int64_t limit_ms) {
  Answer answer;
  auto connection = Dial(address, std::min<int64_t>(limit_ms, 1'000));
  if (!connection) return answer;
  std::string text = method + " " + target + " HTTP/1.1\r\n";
  for (const auto& [name, value] : headers) text += name + ": " + value + "\r\n";
  if (!body.empty() || method == "POST" || method == "PUT")
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  const int64_t until = NowMs() + limit_ms;
  if (!connection->Write(text + "\r\n" + body)) return answer;
  std::string head;
  if (!connection->ReadHead(head, until)) return answer;
  std::string first;
  answer.headers = ParseHeaders(head, first);
  answer.status = atoi(first.c_str() + 9);
  answer.complete = connection->ReadBody(answer.headers, answer.body, until, true);
  return answer;
}

// ------------------------------------------------------- the platform's store

// Objects by kind and name, conditional writes, lists and watches. It keeps its
// whole history.
class Store {
 public:
  explicit Store(const std::string& address)
      : server_(address,
                [this](const Request& r, Connection& c) { return Handle(r, c); }) {}

  // What the operator and the engines write.
  void Put(const std::string& kind, const std::string& name, const json::value& spec) {
    std::lock_guard lock(mutex_);
    Write(kind, name, "spec", spec);
  }
  json::value Get(const std::string& kind, const std::string& name) {
    std::lock_guard lock(mutex_);
    const auto it = kinds_[kind].find(name);
    return it == kinds_[kind].end() ? json::value() : it->second;
  }

 private:
  struct Change {
    uint64_t revision;
    std::string kind;
    json::value object;
    bool deleted;
  };
  void Write(const std::string& kind, const std::string& name, const char* part,
             const json::value& value) {
    auto [it, added] = kinds_[kind].try_emplace(name);
    if (added)
      it->second = json::object{{"metadata",
                                 {{"name", name},
                                  {"revision", 0},
                                  {"created", revision_ + 1},
                                  {"finalizers", json::array()},
                                  {"deleting", false}}},
                                {"spec", nullptr},
                                {"status", nullptr}};
    json::object& object = it->second.as_object();
    if (!added && object[part] == value) return;  // nothing changes
    object[part] = value;
    object["metadata"].as_object()["revision"] = ++revision_;
    history_.push_back({revision_, kind, it->second, false});
    changed_.notify_all();
  }
  static std::string Query(const std::string& target, const std::string& key) {
    const size_t question = target.find('?');
    if (question == std::string::npos) return "";
    std::istringstream parts(target.substr(question + 1));
    for (std::string part; std::getline(parts, part, '&');)
      if (part.starts_with(key + "=")) return part.substr(key.size() + 1);
    return "";
  }
  bool Handle(const Request& request, Connection& connection) {
    SleepMs(2);
    std::string path = request.target.substr(0, request.target.find('?'));
    const std::string prefix = "/-/objects/";
    if (!path.starts_with(prefix)) return Respond(connection, 404, "{}");
    path = path.substr(prefix.size());
    const std::string kind = path.substr(0, path.find('/'));
    std::string name = path.size() > kind.size() ? path.substr(kind.size() + 1) : "";
    const bool status = name.ends_with("/status");
    if (status) name.resize(name.size() - 7);
    std::unique_lock lock(mutex_);
    if (request.method == "GET") {
      const std::string watch = Query(request.target, "watch");
      if (!watch.empty()) return Watch(lock, kind, request.target, watch, connection);
      if (name.empty()) {
        json::array items;
        const std::string after = Query(request.target, "after");
        for (const auto& [key, object] : kinds_[kind])
          if (key > after) items.push_back(object);
        const std::string body = json::serialize(json::object{
            {"items", items}, {"more", false}, {"store_revision", revision_}});
        lock.unlock();
        return Respond(connection, 200, body);
      }
      const auto it = kinds_[kind].find(name);
      if (it == kinds_[kind].end()) return Respond(connection, 404, "{}");
      return Respond(connection, 200, json::serialize(it->second));
    }
    json::object body;
    if (!request.body.empty()) body = json::parse(request.body).as_object();
    const json::object* metadata =
        body.contains("metadata") ? &body["metadata"].as_object() : nullptr;
    if (request.method == "POST") {
      name = std::string(metadata->at("name").as_string());
      const auto it = kinds_[kind].find(name);
      if (it != kinds_[kind].end())
        return Respond(connection, 409, json::serialize(it->second));
      Write(kind, name, "spec", body["spec"]);
      return Respond(connection, 200, json::serialize(kinds_[kind][name]));
    }
    const auto it = kinds_[kind].find(name);
    if (it == kinds_[kind].end()) return Respond(connection, 404, "{}");
    const uint64_t held =
        it->second.at("metadata").at("revision").to_number<uint64_t>();
    if (metadata != nullptr && metadata->contains("revision") &&
        metadata->at("revision").to_number<uint64_t>() != held)
      return Respond(connection, 409, json::serialize(it->second));
    if (request.method == "DELETE") {
      history_.push_back({++revision_, kind, it->second, true});
      kinds_[kind].erase(it);
      changed_.notify_all();
      return Respond(connection, 200, "{}");
    }
    const char* part = status ? "status" : "spec";
    Write(kind, name, part, body[part]);
    return Respond(connection, 200, json::serialize(kinds_[kind][name]));
  }
  bool Watch(std::unique_lock<std::mutex>& lock, const std::string& kind,
             const std::string& target, const std::string& watch, Connection& connection) {
    const uint64_t since = strtoull(watch.c_str(), nullptr, 10);
    const int64_t wait = std::min<int64_t>(30'000, atoll(Query(target, "wait_ms").c_str()));
    const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(wait);
    json::array events;
    for (;;) {
      for (auto it = history_.rbegin(); it != history_.rend() && it->revision > since; ++it)
        if (it->kind == kind)
          events.insert(events.begin(),
                        json::object{{"object", it->object}, {"deleted", it->deleted}});
      if (!events.empty()) break;
      if (changed_.wait_until(lock, until) == std::cv_status::timeout) break;
    }
    const std::string body = json::serialize(
        json::object{{"events", events}, {"store_revision", revision_}});
    lock.unlock();
    return Respond(connection, 200, body);
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, std::map<std::string, json::value>> kinds_;
  std::vector<Change> history_;
  uint64_t revision_ = 10;
  Server server_;  // last: it uses the rest
};

// ----------------------------------------------------------------- engines

// A model engine. It runs requests at once and streams `events` events.
class Engine {
 public:
  struct Run {
    std::string id, previous;
    size_t body_bytes;
  };
  Engine(Store& store, const std::string& id, const std::string& service,
         const std::string& address, const std::string& zone)
      : store_(store), id_(id), service_(service), address_(address), zone_(zone),
        server_(address, [this](const Request& r, Connection& c) { return Handle(r, c); }) {
    CheckIn();
    std::thread([this] {
      for (;;) {
        SleepMs(1'200);
        CheckIn();
      }
    }).detach();
  }
  int events = 3;
  size_t piece_bytes = 60;
  std::atomic<int> in_progress{0};

  std::vector<Run> Runs() {
    std::lock_guard lock(mutex_);
    return runs_;
  }
  bool Ran(const std::string& request_id) {
    std::lock_guard lock(mutex_);
    return ids_.contains(request_id);
  }

 private:
  void CheckIn() {
    store_.Put("servers", id_,
               json::object{{"service", service_},
                            {"addr", address_},
                            {"zone", zone_},
                            {"version", "v1"},
                            {"slots", 64},
                            {"state", "ready"},
                            {"cold_left_ms", 0},
                            {"sequence", sequence_++},
                            {"born", born_}});
  }
  bool Handle(const Request& request, Connection& connection) {
    const std::string id = request.Header("x-pimentopulley-request-id");
    const std::string echo = "X-Pimentopulley-Request-Id: " + id + "\r\n";
    if (request.target.starts_with("/healthz"))
      return Respond(connection, 200, "{}", "X-Pimentopulley-Instance: " + id_ + "\r\n");
    if (request.Header("x-pimentopulley-expect-instance") != id_)
      return Respond(connection, 421, "{}", echo + "X-Pimentopulley-Not-Run: 1\r\n");
    {
      std::lock_guard lock(mutex_);
      runs_.push_back({id, request.Header("x-pimentopulley-previous-turn"), request.body.size()});
      ids_.insert(id);
    }
    ++in_progress;
    const std::string stamp = "X-Pimentopulley-Server-Stamp: " + id_ + "." + id + "\r\n";
    bool alive = true;
    if (request.Header("x-pimentopulley-token-count").empty()) {
      SleepMs(10);
      alive = Respond(connection, 200, "done", echo + stamp);
    } else {
      alive = connection.Write("HTTP/1.1 200 OK\r\n" + echo + stamp +
                               "Content-Type: text/event-stream\r\n"
                               "Transfer-Encoding: chunked\r\n\r\n");
      for (int i = 1; alive && i <= events; ++i) {
        SleepMs(4);
        const std::string event = "id: " + std::to_string(i) + "\ndata: " +
                                  std::string(piece_bytes, static_cast<char>('a' + i % 26)) +
                                  "\n\n";
        char size[16];
        snprintf(size, sizeof size, "%zx\r\n", event.size());
        alive = connection.Write(size + event + "\r\n");
      }
      if (alive) alive = connection.Write("0\r\n\r\n");
    }
    --in_progress;
    return alive;
  }
  Store& store_;
  std::string id_, service_, address_, zone_;
  int64_t sequence_ = 1;
  int64_t born_ = std::chrono::duration_cast<std::chrono::milliseconds>(
                      std::chrono::system_clock::now().time_since_epoch())
                      .count();
  std::mutex mutex_;
  std::vector<Run> runs_;
  std::set<std::string> ids_;
  Server server_;
};

// -------------------------------------------------------------- the platform

// The command of a role in the deploy file.
inline std::vector<std::string> CommandOf(const std::string& role) {
  std::ifstream in("deploy/system.toml");
  bool here = false;
  for (std::string line; std::getline(in, line);) {
    if (line.starts_with("[")) here = line == "[roles." + role + "]";
    if (!here || !line.starts_with("run = \"")) continue;
    std::istringstream words(line.substr(7, line.rfind('"') - 7));
    std::vector<std::string> command;
    for (std::string word; words >> word;) command.push_back(word);
    return command;
  }
  throw std::runtime_error("deploy/system.toml has no role " + role);
}

struct FleetOptions {
  int gateways = 3;
  int archives = 3;
  double retain_s = 60;
  int64_t timeout_ms = 3'000;
  std::vector<std::string> teams = {"alba"};
};

class Fleet {
 public:
  explicit Fleet(FleetOptions options) : options_(std::move(options)) {
    Current() = this;
    char folder[] = "/tmp/review-case-XXXXXX";
    dir_ = mkdtemp(folder);
    number_ = FreeNumber();
    store_ = std::make_unique<Store>(Ip(1) + ":8362");
    PutState(3);
    for (int i = 0; i < 3; ++i)
      talk.push_back(std::make_unique<Engine>(*store_, "i-7f" + std::to_string(100 + i), "talk",
                                              Ip(100 + i) + ":8080", Zone(i)));
    for (int i = 0; i < options_.archives; ++i) StartHost(Archive(i), true);
    for (int i = 0; i < options_.gateways; ++i) StartHost(Gateway(i), true);
    std::thread([this] { CheckReady(); }).detach();
    const int64_t until = NowMs() + 15'000;
    while (Ready() < options_.gateways) {
      if (NowMs() > until) {
        // Not thrown: the threads of the stand-ins use this object.
        REC("the gateways do not become ready: the case could not run");
        EndAll();
        _exit(2);
      }
      SleepMs(50);
    }
    REC("fleet ready: %d gateways, %d archives, 3 engines", options_.gateways, options_.archives);
  }
  // The fleet of this process. It is never destroyed: its threads run on until
  // the process ends.
  static Fleet*& Current() {
    static Fleet* fleet = nullptr;
    return fleet;
  }

  std::vector<std::unique_ptr<Engine>> talk;

  static std::string Archive(int i) { return "storage-" + std::to_string(i); }
  static std::string Gateway(int i) { return "front-" + std::to_string(i); }

  // Signals are sent to processes of this fleet only, by their ids.
  void Signal(const std::string& host, int number) {
    std::lock_guard lock(mutex_);
    const auto it = pids_.find(host);
    if (it != pids_.end() && it->second > 0) kill(it->second, number);
  }
  void WaitForEnd(const std::string& host) {
    pid_t pid = 0;
    {
      std::lock_guard lock(mutex_);
      pid = pids_[host];
    }
    if (pid <= 0) return;
    waitpid(pid, nullptr, 0);
    std::lock_guard lock(mutex_);
    pids_[host] = 0;
  }
  // True once the process has ended by itself or by a signal.
  bool Ended(const std::string& host) {
    std::lock_guard lock(mutex_);
    pid_t& pid = pids_[host];
    if (pid <= 0) return true;
    if (waitpid(pid, nullptr, WNOHANG) != pid) return false;
    pid = 0;
    return true;
  }
  void Wipe(const std::string& host) { std::filesystem::remove_all(dir_ + "/" + host + ".data"); }
  void StartHost(const std::string& host, bool bootstrap) {
    std::lock_guard starting(start_mutex_);
    if (stopping_) return;
    WriteSettings(host, bootstrap);
    const auto command = CommandOf(host.starts_with("front") ? "gateway" : "archive");
    const std::string log = dir_ + "/" + host + ".log";
    const std::string settings = "PIMENTOPULLEY_SETTINGS=" + dir_ + "/" + host + ".conf";
    const pid_t pid = fork();
    if (pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(out, 1);
      dup2(out, 2);
      std::vector<char*> words;
      for (const auto& word : command) words.push_back(const_cast<char*>(word.c_str()));
      words.push_back(nullptr);
      const char* path = getenv("PATH");
      const std::string path_line = std::string("PATH=") + (path ? path : "/usr/bin:/bin");
      char* environment[] = {const_cast<char*>(settings.c_str()),
                             const_cast<char*>(path_line.c_str()),
                             const_cast<char*>("HOME=/tmp"), const_cast<char*>("LANG=C"), nullptr};
      execve(words[0], words.data(), environment);
      _exit(127);
    }
    std::lock_guard lock(mutex_);
    pids_[host] = pid;
  }
  // Value of a line of /proc/PID/status in KB; 0 when there is no process.
  int64_t StatusKb(const std::string& host, const std::string& key) {
    pid_t pid = 0;
    {
      std::lock_guard lock(mutex_);
      pid = pids_[host];
    }
    if (pid <= 0) return 0;
    std::ifstream in("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(in, line);)
      if (line.starts_with(key + ":")) return atoll(line.c_str() + key.size() + 1);
    return 0;
  }
  std::string Log(const std::string& host) {
    std::ifstream in(dir_ + "/" + host + ".log");
    std::ostringstream out;
    out << in.rdbuf();
    return out.str();
  }
  double Metric(const std::string& host, const std::string& name) {
    const Answer answer = Send(IpOf(host) + ":9464", "GET", "/metrics", {{"Host", "m"}}, "", 1'000);
    std::istringstream in(answer.body);
    for (std::string line; std::getline(in, line);)
      if (line.starts_with(name + " ")) return atof(line.c_str() + name.size() + 1);
    return -1;
  }

  // A client asks the directory for the gateways, and picks one at random.
  std::string Resolve() {
    for (int i = 0; i < options_.gateways; ++i) {
      const Answer answer = Send(IpOf(Gateway(i)) + ":8360", "GET",
                                 "/-/resolve?name=x.example&region=r&zone=" + Zone(i),
                                 {{"Host", "x.example"}}, "", 1'000);
      if (answer.status != 200 || !answer.complete) continue;
      const auto value = json::parse(answer.body);
      const auto& list = value.at("addrs").as_array();
      if (list.empty()) continue;
      return std::string(list[Random() % list.size()].as_string());
    }
    return "";
  }
  // One client attempt of a turn on the route that keeps what was said.
  Answer Turn(const std::string& id, const std::string& program, const std::string& previous,
              const std::string& team, const std::string& body, int64_t finish_ms,
              int64_t budget = 1'000'000) {
    const std::string gateway = Resolve();
    if (gateway.empty()) return {};
    Headers headers = {{"Host", "x.example"},
                       {"X-Pimentopulley-Request-Id", id},
                       {"X-Pimentopulley-Program-Id", program},
                       {"X-Pimentopulley-Session-Id", program + "-s"},
                       {"X-Pimentopulley-Finish-Ms", std::to_string(finish_ms)},
                       {"X-Pimentopulley-Token-Budget", std::to_string(budget)},
                       {"X-Pimentopulley-Token-Count", "100,60"},
                       {"X-Pimentopulley-Model", "m"},
                       {"X-Pimentopulley-Deadline-Ms", "3000"},
                       {"Authorization", "Token key-of-" + team}};
    if (!previous.empty()) headers["X-Pimentopulley-Previous-Turn"] = previous;
    return Send(gateway, "POST", "/kept/turn", headers, body, 3'000);
  }
  bool RanAnywhere(const std::string& id) {
    for (auto& engine : talk)
      if (engine->Ran(id)) return true;
    return false;
  }
  int Ready() const { return ready_; }
  bool stopping() const { return stopping_; }
  Store& store() { return *store_; }
  const std::string& dir() const { return dir_; }
  uint64_t Random() {
    std::lock_guard lock(random_mutex_);
    return random_();
  }
  void EndAll() {
    std::lock_guard starting(start_mutex_);
    stopping_ = true;
    std::vector<pid_t> pids;
    {
      std::lock_guard lock(mutex_);
      for (auto& [host, pid] : pids_)
        if (pid > 0) pids.push_back(pid);
      pids_.clear();
    }
    for (const pid_t pid : pids) kill(pid, SIGKILL);
    for (const pid_t pid : pids) waitpid(pid, nullptr, 0);
    if (getenv("KEEP") == nullptr) std::filesystem::remove_all(dir_);
  }

 private:
  static std::string Zone(int i) { return "zone-" + std::string(1, static_cast<char>('a' + i % 3)); }
  std::string Ip(int host) const {
    return "127." + std::to_string(number_) + "." + std::to_string(host) + ".1";
  }
  std::string IpOf(const std::string& host) const {
    const int index = atoi(host.c_str() + host.find('-') + 1);
    return Ip((host.starts_with("front") ? 10 : 40) + index);
  }
  // The second number of the addresses, so that the ports are free.
  static int FreeNumber() {
    for (int n = 0; n < 100; ++n) {
      const int number = 20 + static_cast<int>((static_cast<unsigned>(getpid()) + n * 7) % 200);
      const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      sockaddr_in name = AddressOf("127." + std::to_string(number) + ".10.1:8368");
      const bool free = bind(fd, reinterpret_cast<sockaddr*>(&name), sizeof name) == 0;
      close(fd);
      if (free) return number;
    }
    throw std::runtime_error("no free addresses");
  }
  void PutState(int64_t version) {
    json::array teams;
    for (const auto& team : options_.teams)
      teams.push_back(json::object{{"name", team},
                                   {"api_keys", json::array{"key-of-" + team}},
                                   {"priority", 1},
                                   {"rate_per_s", 0},
                                   {"burst", 0}});
    json::array routes = {json::object{{"name", "kept"},
                                       {"host", "x.example"},
                                       {"path_prefix", "/kept/"},
                                       {"kind", "streaming"},
                                       {"service", "talk"},
                                       {"timeout_ms", options_.timeout_ms},
                                       {"slo_ms", 200},
                                       {"gap_aim_ms", 150},
                                       {"attempts", 2},
                                       {"priority", 0},
                                       {"sticky", true},
                                       {"can_resume", false},
                                       {"keep_context", true},
                                       {"retain_s", options_.retain_s}}};
    store_->Put("config", "main",
                json::object{{"version", version},
                             {"routes", routes},
                             {"services",
                              json::array{json::object{{"name", "talk"},
                                                       {"health_path", "/healthz"},
                                                       {"max_conns", 160},
                                                       {"engine", {{"chunk_tokens", 12}}}}}},
                             {"limits",
                              {{"max_header_bytes", 16'384},
                               {"max_body_bytes", 4'194'304},
                               {"header_timeout_ms", 2'000},
                               {"idle_timeout_ms", 10'000}}},
                             {"tenants", teams}});
  }
  // The settings of the sheet of Butasaumur's order desk, with three machines
  // of each class.
  void WriteSettings(const std::string& host, bool bootstrap) {
    const bool front = host.starts_with("front");
    const int index = atoi(host.c_str() + host.find('-') + 1);
    const std::string ip = IpOf(host);
    std::ofstream out(dir_ + "/" + host + ".conf");
    out << "node=" << host << "\nrole=" << (front ? "gateway" : "archive")
        << "\nclass=" << (front ? "front" : "storage")
        << "\nserves=" << (front ? "front,directory" : "storage") << "\nip=" << ip
        << "\nzone=" << Zone(index) << "\nregion=r\nzones.zone-a=r\nzones.zone-b=r\nzones.zone-c=r\n";
    if (front)
      out << "listen.front=" << ip << ":8368\nlisten.ready=" << ip << ":8369\nlisten.directory="
          << ip << ":8360\n";
    else
      out << "data_dir=" << dir_ << "/" << host << ".data\n";
    out << "port_range=7780,7795\nseeds=\nbootstrap=" << (bootstrap ? "true" : "false")
        << "\nfault_counted=" << (front ? "false" : "true") << "\nlimits.cpu_share="
        << (front ? "0.25" : "0.5") << "\nlimits.cores=1\nlimits.memory_mb=" << (front ? 110 : 130)
        << "\nlimits.max_fds=" << (front ? 4100 : 8200)
        << "\nlimits.link_mbps=" << (front ? "1000.0" : "600.0")
        << "\nlimits.disk_mb=" << (front ? 0 : 390)
        << "\ndiscovery=platform\nentry=directory\nheartbeat_interval_ms=1200\n"
           "contracts=base,drain,config,cost,recover,agent,stream,engine,tenants,quota,places,"
           "platform\ntolerate.machines=1\ntolerate.zones=1\ntolerate.regions=0\n"
           "bounds.seed_lag_s=3\nbounds.addr_reuse_s=2\nbounds.stability_window_ms=3000\n"
           "bounds.ack_ms=4000\nbounds.catch_up_s=4.5\nbounds.drain_ms=2000\nbounds.grace_s=8\n"
           "bounds.loss_slack_ms=200\nbounds.config_propagation_ms=2000\n"
           "bounds.rollback_slack_ms=250\nbounds.outer_ms=5000\nbounds.strict_revoke=true\n"
           "bounds.revoke_ms=5000\nbounds.quota_window_s=5\nbounds.quota_tolerance=0.1\n"
           "bounds.quota_slack=20\nbounds.cold_over=1.5\nbounds.cold_slack=5\nbounds.evac_ms=5000\n"
           "bounds.recover_s=12\nbounds.pass_ms=120\nbounds.retry_after_s=0\nbounds.deadline_s=10\n"
           "bounds.settle_ms=1000\nbounds.ttl_max_s=5\nplatform.addr="
        << Ip(1)
        << ":8362\nplatform.form=objects\nplatform.writes_per_s=400\nplatform.reads_per_s=2000\n"
           "platform.history_s=20\nplatform.value_bytes=1048576\nplatform.ttl_min_ms=1000\n";
  }
  // The platform asks each gateway once a second.
  void CheckReady() {
    while (!stopping_) {
      int ready = 0;
      for (int i = 0; i < options_.gateways; ++i)
        ready += Send(IpOf(Gateway(i)) + ":8369", "GET", "/-/ready", {{"Host", "p"}}, "", 800)
                     .status == 200;
      ready_ = ready;
      SleepMs(ready < options_.gateways ? 300 : 1'000);
    }
  }

  FleetOptions options_;
  std::string dir_;
  int number_ = 0;
  std::unique_ptr<Store> store_;
  std::mutex start_mutex_;
  std::mutex mutex_;
  std::map<std::string, pid_t> pids_;
  std::atomic<int> ready_{0};
  std::atomic<bool> stopping_{false};
  std::mutex random_mutex_;
  std::mt19937_64 random_{std::random_device{}()};
};

inline bool Whole(const Answer& answer) {
  return answer.status == 200 && answer.complete &&
         answer.headers.contains("x-pimentopulley-server-stamp");
}
inline bool Trouble() {
  const char* value = getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

// Runs `body`, which returns 1 if the rule was broken and 0 if it held. 2: the
// case could not run.
[[noreturn]] inline void RunCase(const std::function<int()>& body) {
  signal(SIGPIPE, SIG_IGN);
  Record::Get().Open(std::string(getenv("CASE_DIR") ? getenv("CASE_DIR") : ".") + "/record.txt");
  int result = 2;
  try {
    REC("trouble: %s", Trouble() ? "yes" : "no");
    result = body();
  } catch (const std::exception& e) {
    REC("the case could not run: %s", e.what());
  }
  REC("result: %d (1: the rule was broken, 0: it held, 2: the case could not run)", result);
  if (Fleet::Current() != nullptr) Fleet::Current()->EndAll();
  _exit(result);
}

}  // namespace lab
