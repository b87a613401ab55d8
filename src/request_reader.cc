#include "src/request_reader.h"

#include <iterator>

namespace pimento {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

// Room that one read needs.
constexpr uint64_t kReadBytes = 8 * 1024;
// More header fields than any client sends. Each takes memory of its own,
// many times its bytes.
constexpr size_t kMaxHeaderFields = 256;
// Of one field, beside its text.
constexpr uint64_t kFieldOverheadBytes = 96;

}  // namespace

asio::awaitable<ReadOutcome> RequestReader::ReadHeader(RequestParser& parser,
                                                       Deadline deadline) {
  deadline_ = deadline;
  stream_.expires_at(deadline);
  while (!parser.is_header_done()) {
    const ReadOutcome outcome = co_await ReadMore(parser);
    if (outcome != ReadOutcome::kDone) co_return outcome;
  }
  const auto& header = parser.get().base();
  const auto fields =
      static_cast<size_t>(std::distance(header.begin(), header.end()));
  for (const auto& field : header)
    header_bytes_ += field.name_string().size() + field.value().size();
  header_bytes_ += header.target().size() + fields * kFieldOverheadBytes;
  holder_.SetBytes(HeldBytes(parser));
  if (fields <= kMaxHeaderFields) co_return ReadOutcome::kDone;
  error_ = http::error::header_limit;
  co_return ReadOutcome::kFailed;
}

asio::awaitable<ReadOutcome> RequestReader::ReadBody(RequestParser& parser,
                                                     Deadline deadline) {
  deadline_ = deadline;
  stream_.expires_at(deadline);
  parser.eager(true);
  while (!parser.is_done()) {
    const ReadOutcome outcome = co_await ReadMore(parser);
    if (outcome != ReadOutcome::kDone) co_return outcome;
  }
  co_return ReadOutcome::kDone;
}

asio::awaitable<ReadOutcome> RequestReader::ReadMore(RequestParser& parser) {
  if (!holder_.MayGrow(kReadBytes) &&
      !co_await holder_.WaitForRoom(kReadBytes, deadline_))
    co_return ReadOutcome::kNoRoom;
  const size_t consumed = co_await http::async_read_some(
      stream_, buffer_, parser,
      asio::redirect_error(asio::use_awaitable, error_));
  holder_.SetBytes(HeldBytes(parser));
  if (holder_.NoteMoved(consumed)) on_moved_();
  if (holder_.closed()) co_return ReadOutcome::kNoRoom;
  co_return error_ ? ReadOutcome::kFailed : ReadOutcome::kDone;
}

uint64_t RequestReader::HeldBytes(const RequestParser& parser) const {
  // The body is sent on as a copy.
  constexpr uint64_t kBodyCopies = 2;
  return header_bytes_ + buffer_.capacity() +
         kBodyCopies * parser.get().body().capacity();
}

}  // namespace pimento
