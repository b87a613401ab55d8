// What every stand-in's main function shares: arguments, one HTTP server on one
// thread, and switches that can be set while it runs.
//
//   POST /faults {"down": true}     sets switches; GET /faults shows them
#pragma once

#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <csignal>
#include <cxxopts.hpp>
#include <functional>
#include <iostream>
#include <string>

#include "src/errors.h"
#include "src/http_server.h"
#include "src/log.h"

namespace pimento::standin {

// Switches by name; numbers only, false is 0.
class Switches {
 public:
  explicit Switches(boost::json::object initial)
      : values_(std::move(initial)) {}

  int64_t Number(const char* name) const {
    const boost::json::value* value = values_.if_contains(name);
    if (value == nullptr) return 0;
    if (value->is_bool()) return value->as_bool() ? 1 : 0;
    return value->to_number<int64_t>();
  }
  bool On(const char* name) const { return Number(name) != 0; }
  // Uses up one of `name`: a switch that counts down.
  bool Take(const char* name) {
    const int64_t left = Number(name);
    if (left > 0) values_[name] = left - 1;
    return left > 0;
  }
  void Set(const std::string& text) {
    const boost::json::value parsed = boost::json::parse(text);
    for (const auto& [name, value] : parsed.as_object()) values_[name] = value;
  }
  std::string Text() const { return boost::json::serialize(values_); }

 private:
  boost::json::object values_;
};

// Serves `handler` on --listen until SIGTERM. "/faults" and "/healthz" are
// answered here.
inline int Main(
    int argc, char** argv, const std::string& name, Switches& switches,
    const std::function<HttpHandler(boost::asio::io_context&)>& make_handler) {
  cxxopts::Options options(name, "A stand-in for tests: " + name);
  options.add_options()("listen", "address to listen on",
                        cxxopts::value<std::string>())(
      "faults", "initial switches, JSON",
      cxxopts::value<std::string>()->default_value("{}"))("help",
                                                          "show this text");
  try {
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") != 0) {
      std::cout << options.help();
      return 0;
    }
    switches.Set(arguments["faults"].as<std::string>());
    SetUpLogging("warn", "text", name);
    boost::asio::io_context io(1);
    const HttpHandler handler = make_handler(io);
    HttpServer server(
        io, "standin", {.memory_mb = 1'024, .body_bytes = 8 * 1024 * 1024},
        [&](const HttpRequest& request,
            HttpResponder& responder) -> boost::asio::awaitable<void> {
          if (request.path == "/faults") {
            if (request.method == "POST") switches.Set(request.body);
            HttpResponse answer{.body = switches.Text()};
            co_await responder.Send(answer);
            co_return;
          }
          if (request.path == "/healthz") {
            HttpResponse answer{.body = "{}"};
            co_await responder.Send(answer);
            co_return;
          }
          co_await handler(request, responder);
        });
    server.Listen(arguments["listen"].as<std::string>());
    boost::asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&io](auto, auto) { io.stop(); });
    io.run();
    return 0;
  } catch (const std::exception& e) {
    std::cerr << name << ": " << e.what() << "\n";
    return 2;
  }
}

}  // namespace pimento::standin
