#include "src/response_parser.h"

#include <functional>

namespace pimento {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

// The limit of Beast's parser.
constexpr size_t kMaxHeadBytes = 8 * 1024;
constexpr std::string_view kEndOfHead = "\r\n\r\n";

std::string_view TextOf(const beast::flat_buffer& buffer) {
  const auto bytes = buffer.data();
  return {static_cast<const char*>(bytes.data()), bytes.size()};
}

// `lines` begins behind a whole line, or with its line end.
bool HasFoldedLine(std::string_view lines) {
  return lines.find("\r\n ") != std::string_view::npos ||
         lines.find("\r\n\t") != std::string_view::npos;
}

// True where the body is encoded in another way than in chunks.
bool HasOtherCoding(const ResponseParser& parser) {
  for (const auto& field : parser.get()) {
    if (field.name() == http::field::transfer_encoding &&
        !beast::iequals(field.value(), "chunked"))
      return true;
  }
  return false;
}

// Fills `buffer` up to the end of a head, or to the longest one.
asio::awaitable<beast::error_code> FillWithHead(beast::tcp_stream& stream,
                                                beast::flat_buffer& buffer) {
  while (TextOf(buffer).find(kEndOfHead) == std::string_view::npos &&
         buffer.size() < kMaxHeadBytes) {
    beast::error_code error;
    const size_t size = co_await stream.async_read_some(
        buffer.prepare(beast::read_size(buffer, kMaxHeadBytes)),
        asio::redirect_error(asio::use_awaitable, error));
    if (error == asio::error::eof)
      error = buffer.size() == 0 ? http::error::end_of_stream
                                 : http::error::partial_message;
    if (error) co_return error;
    buffer.commit(size);
  }
  co_return beast::error_code();
}

}  // namespace

ResponseParser::ResponseParser(const beast::flat_buffer& buffer)
    : buffer_(buffer) {
  on_chunk_ = [this](uint64_t size, beast::string_view extensions,
                     beast::error_code& error) {
    if (size > 0) return;
    // The last chunk: the buffer holds the trailers to their end, behind the
    // extensions, which are part of it.
    const std::string_view text = TextOf(buffer_);
    const char* const begin = extensions.data() + extensions.size();
    const std::less_equal<const char*> not_behind;
    if (!not_behind(text.data(), begin) ||
        !not_behind(begin, text.data() + text.size())) {
      error = http::error::bad_chunk_extension;
      return;
    }
    const auto at = static_cast<size_t>(begin - text.data());
    const size_t end = text.find(kEndOfHead, at);
    if (HasFoldedLine(text.substr(at, end - at)))
      error = http::error::bad_field;
  };
  on_chunk_header(on_chunk_);
}

asio::awaitable<beast::error_code> ReadResponseHead(beast::tcp_stream& stream,
                                                    beast::flat_buffer& buffer,
                                                    ResponseParser& parser) {
  beast::error_code error = co_await FillWithHead(stream, buffer);
  if (error) co_return error;
  const std::string_view text = TextOf(buffer);
  if (HasFoldedLine(text.substr(0, text.find(kEndOfHead))))
    co_return http::error::bad_field;
  buffer.consume(parser.put(buffer.data(), error));
  if (!error && HasOtherCoding(parser))
    error = http::error::bad_transfer_encoding;
  co_return error;
}

}  // namespace pimento
