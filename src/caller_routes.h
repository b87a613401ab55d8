// The callers' HTTP interface, version 1. docs/INTERFACE.md shows each call.
//
// A caller's key is turned into a team here and goes no further.
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

  Async<void> Handle(const HttpRequest& request, HttpResponder& responder);
  // Cuts the connections of keys that the document does not know any more.
  void AbortRequestsOfWithdrawnKeys();

 private:
  // A request under way, and the key that it came with.
  struct Live {
    std::string digest;
    HttpResponder* responder = nullptr;
  };
  struct Caller {
    std::string team;
    std::string digest;
  };
  struct Stream;
  using Route = Async<void> (CallerRoutes::*)(const HttpRequest&,
                                              HttpResponder&);
  struct RouteRow {
    const char* method;
    const char* pattern;
    Route route;
  };
  static const RouteRow kRoutes[];

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
  void RememberRefusal(const CallRequest& call, const Outcome& outcome);
  std::string NewRequestId();

  boost::asio::io_context& io_;
  EntryForwarder& forwarder_;
  Metrics& metrics_;
  std::string host_;
  uint64_t boot_;
  uint64_t requests_ = 0;
  std::map<uint64_t, Live> live_;
  // Digests of keys that some generation knew.
  std::set<std::string> known_digests_;
  // Until when a call is certain to be over its team's rate, by call. Bounded.
  std::map<std::string, int64_t> refused_until_ms_;
};

}  // namespace pimento
