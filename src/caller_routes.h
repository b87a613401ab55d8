// The callers' HTTP interface, version 1. docs/INTERFACE.md shows each call.
//
// A caller's API key is resolved to its team here and is not passed on.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "src/entry_forwarder.h"
#include "src/http_server.h"
#include "src/metrics.h"

namespace pimento {

class CallerRoutes {
 public:
  template <class T>
  using Async = boost::asio::awaitable<T>;

  CallerRoutes(boost::asio::io_context& io, EntryForwarder& forwarder,
               Metrics& metrics, std::string host);

  // Routes one request and sends its response, refusals included.
  Async<void> Handle(const HttpRequest& request, HttpResponder& responder);
  // Called after the document has changed. Aborts the requests in progress
  // whose key it no longer contains, and clears the refusal cache because rates
  // may have changed.
  void AbortRequestsOfWithdrawnKeys();
  // Sets what the server adds to the metrics.
  void set_server_metrics(std::function<std::string()> text) {
    server_metrics_ = std::move(text);
  }

 private:
  // A request in progress and the digest of its key; empty without a key.
  struct ActiveRequest {
    std::string digest;
    HttpResponder* responder = nullptr;
  };
  // An authenticated caller. Both fields are empty for an open service.
  struct Caller {
    std::string team;
    std::string digest;
  };
  struct Stream;
  // Handles requests whose method and path match a RouteEntry.
  using Route = Async<void> (CallerRoutes::*)(const HttpRequest&,
                                              HttpResponder&);
  struct RouteEntry {
    const char* method;
    // Path segments; "*" matches one segment, "**" the rest.
    const char* pattern;
    Route route;
  };
  static const RouteEntry kRoutes[];

  Async<void> Health(const HttpRequest& request, HttpResponder& responder);
  Async<void> MetricsText(const HttpRequest& request, HttpResponder& responder);
  Async<void> Address(const HttpRequest& request, HttpResponder& responder);
  Async<void> CreateProgram(const HttpRequest& request,
                            HttpResponder& responder);
  Async<void> MakeCall(const HttpRequest& request, HttpResponder& responder);
  Async<void> ReadCall(const HttpRequest& request, HttpResponder& responder);
  Async<void> History(const HttpRequest& request, HttpResponder& responder);
  Async<void> EndProgram(const HttpRequest& request, HttpResponder& responder);
  Async<void> CallService(const HttpRequest& request, HttpResponder& responder);

  Async<void> Dispatch(const HttpRequest& request, HttpResponder& responder);
  Caller Identify(const HttpRequest& request, const std::string& service) const;
  Async<void> RunCall(CallRequest call, bool stream, const HttpRequest& request,
                      HttpResponder& responder);
  Async<void> StreamCall(uint32_t shard, CallRequest call,
                         HttpResponder& responder);
  Async<void> AnswerCall(uint32_t shard, CallRequest call,
                         HttpResponder& responder);
  Async<void> ForwardInto(std::shared_ptr<Stream> stream, uint32_t shard,
                          CallRequest call);
  Async<void> Refuse(const Refusal& refusal, HttpResponder& responder);
  void CheckRefusalCache(const CallRequest& call);
  void CacheRefusal(const CallRequest& call, const Outcome& outcome);
  std::string NewRequestId();

  boost::asio::io_context& io_;
  EntryForwarder& forwarder_;
  Metrics& metrics_;
  std::string host_;
  std::function<std::string()> server_metrics_;
  // Start of this process, microseconds since 1970: makes request ids unique
  // across restarts.
  uint64_t start_us_;
  // Counts requests and request ids.
  uint64_t requests_ = 0;
  std::map<uint64_t, ActiveRequest> active_;
  // Digests of all keys in any generation of the document so far. They tell a
  // withdrawn key from an unknown one.
  std::set<std::string> known_digests_;
  // Time until which a call is certain to exceed its team's rate, milliseconds
  // since 1970, by call. Holds at most kMaxCachedRefusals entries.
  std::map<std::string, int64_t> refused_until_ms_;
};

}  // namespace pimento
