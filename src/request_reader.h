// Reads a request from a connection within limits, on the account of held
// bytes: the body grows in steps and not by doubling, and reading pauses while
// the account is short.
#pragma once

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <boost/optional.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

#include "src/byte_broker.h"

namespace pimento {

// A body in a string whose memory follows what has arrived: a length that is
// only announced takes none.
struct SteppedBody {
  using value_type = std::string;

  static uint64_t size(const value_type& body) { return body.size(); }

  class reader {
   public:
    template <bool kIsRequest, class Fields>
    reader(boost::beast::http::header<kIsRequest, Fields>&, value_type& body)
        : body_(body) {}

    void init(const boost::optional<uint64_t>& length,
              boost::beast::error_code& error) {
      error = {};
      if (length) length_ = *length;
    }

    template <class Buffers>
    size_t put(const Buffers& buffers, boost::beast::error_code& error) {
      error = {};
      const size_t arrived = boost::beast::buffer_bytes(buffers);
      Reserve(body_.size() + arrived);
      for (const auto buffer : boost::beast::buffers_range_ref(buffers))
        body_.append(static_cast<const char*>(buffer.data()), buffer.size());
      return arrived;
    }

    void finish(boost::beast::error_code& error) { error = {}; }

   private:
    // Beyond this, memory grows by a quarter.
    static constexpr size_t kStepBytes = 64 * 1024;

    void Reserve(size_t size) {
      if (size <= body_.capacity()) return;
      size_t wanted = size + std::min(size, std::max(kStepBytes, size / 4));
      if (length_ > 0)
        wanted = std::max(
            size, static_cast<size_t>(std::min<uint64_t>(wanted, length_)));
      body_.reserve(wanted);
    }

    value_type& body_;
    // 0 when no length was announced.
    uint64_t length_ = 0;
  };
};

using RequestParser = boost::beast::http::request_parser<SteppedBody>;

enum class ReadOutcome : uint8_t {
  kDone,
  // `error` says why.
  kFailed,
  // The account had no room for the request, or its holder was closed.
  kNoRoom,
};

class RequestReader {
 public:
  using Deadline = std::chrono::steady_clock::time_point;

  // `on_moved` is called when so much has arrived that the connection does not
  // count as stalled.
  RequestReader(boost::beast::tcp_stream& stream,
                boost::beast::flat_buffer& buffer, ByteBroker::Holder& holder,
                std::function<void()> on_moved)
      : stream_(stream),
        buffer_(buffer),
        holder_(holder),
        on_moved_(std::move(on_moved)) {}

  // Reads until the header, or the whole request, was parsed. Limits on sizes
  // are those of `parser`.
  boost::asio::awaitable<ReadOutcome> ReadHeader(RequestParser& parser,
                                                 Deadline deadline);
  boost::asio::awaitable<ReadOutcome> ReadBody(RequestParser& parser,
                                               Deadline deadline);
  const boost::beast::error_code& error() const { return error_; }
  // For a header that was parsed but is not accepted.
  void set_error(boost::beast::error_code error) { error_ = error; }
  // Bytes that the request holds in memory, the read buffer included.
  uint64_t HeldBytes(const RequestParser& parser) const;

 private:
  boost::asio::awaitable<ReadOutcome> ReadMore(RequestParser& parser);

  boost::beast::tcp_stream& stream_;
  boost::beast::flat_buffer& buffer_;
  ByteBroker::Holder& holder_;
  std::function<void()> on_moved_;
  Deadline deadline_{};
  boost::beast::error_code error_;
  // What the header takes, once it was parsed.
  uint64_t header_bytes_ = 0;
};

}  // namespace pimento
