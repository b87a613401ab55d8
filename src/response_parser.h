// Parses HTTP/1.1 responses, for all that read responses.
//
// Beast's parser takes some responses that a gateway must not pass on, since
// others may read them in another way. They are refused here:
//
//   folded lines    a line of the head or of the trailers that begins with a
//                   blank. The parser adds it to the value of the line before;
//                   others take it for a field, such as a Transfer-Encoding.
//   other codings   a Transfer-Encoding other than "chunked" alone: the body
//                   is not what the peer encoded.
#pragma once

#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <cstdint>
#include <functional>
#include <string_view>

namespace pimento {

// Parses one response. Refuses folded lines in its trailers.
class ResponseParser : public boost::beast::http::response_parser<
                           boost::beast::http::buffer_body> {
 public:
  // `buffer` is the one that the response is read into; it outlives the parser.
  explicit ResponseParser(const boost::beast::flat_buffer& buffer);
  ResponseParser(const ResponseParser&) = delete;
  ResponseParser& operator=(const ResponseParser&) = delete;

 private:
  const boost::beast::flat_buffer& buffer_;
  // The base class keeps a reference to it.
  std::function<void(uint64_t, boost::beast::string_view,
                     boost::beast::error_code&)>
      on_chunk_;
};

// Reads the head of a response into `parser`, which has not read anything yet.
// `buffer` keeps what follows it. Returns an error of the connection, or one of
// boost::beast::http::error if the head cannot be read.
boost::asio::awaitable<boost::beast::error_code> ReadResponseHead(
    boost::beast::tcp_stream& stream, boost::beast::flat_buffer& buffer,
    ResponseParser& parser);

}  // namespace pimento
