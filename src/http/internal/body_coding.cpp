#include "http/body_coding.h"

#include <array>

#include <zlib.h>

#include "http/http_errors.h"

namespace buckthornhill::http {
namespace {
constexpr std::string_view coding_header = "Content-Encoding";
constexpr std::string_view coding = "deflate";
constexpr std::size_t min_compressed_bytes = 512; //!< the saving on less is not worth the work
//! A window of 8 KB and little state: bodies are short or repeat themselves within a few hundred bytes.
constexpr int window_bits = 13;
constexpr int memory_level = 6;
constexpr int compression_level = 3;
constexpr std::size_t chunk_bytes = 16UL * 1024;

z_stream stream_reading(const std::string& input)
{
    z_stream stream{};
    //! NOTE zlib's interface is older than const; it does not write to its input.
    stream.next_in = reinterpret_cast<Bytef*>(const_cast<char*>(input.data()));
    stream.avail_in = static_cast<uInt>(input.size());
    return stream;
}

std::string compressed(const std::string& plain_body)
{
    auto stream = stream_reading(plain_body);
    if (deflateInit2(&stream, compression_level, Z_DEFLATED, window_bits, memory_level, Z_DEFAULT_STRATEGY) !=
        Z_OK) {
        throw http_error("a body cannot be compressed: no memory");
    }
    std::string compressed_body(deflateBound(&stream, static_cast<uLong>(plain_body.size())), '\0');
    stream.next_out = reinterpret_cast<Bytef*>(compressed_body.data());
    stream.avail_out = static_cast<uInt>(compressed_body.size());
    const int status = deflate(&stream, Z_FINISH);
    compressed_body.resize(stream.total_out);
    deflateEnd(&stream);
    if (status != Z_STREAM_END) {
        throw http_error("a body cannot be compressed");
    }
    return compressed_body;
}

std::string decompressed(const std::string& compressed_body, std::size_t max_bytes)
{
    auto stream = stream_reading(compressed_body);
    if (inflateInit(&stream) != Z_OK) {
        throw http_error("a body cannot be unpacked: no memory");
    }
    std::string plain_body;
    std::array<char, chunk_bytes> chunk{};
    int status = Z_OK;
    while (status == Z_OK && plain_body.size() <= max_bytes) {
        stream.next_out = reinterpret_cast<Bytef*>(chunk.data());
        stream.avail_out = static_cast<uInt>(chunk.size());
        status = inflate(&stream, Z_NO_FLUSH);
        plain_body.append(chunk.data(), chunk.size() - stream.avail_out);
    }
    inflateEnd(&stream);
    if (plain_body.size() > max_bytes) {
        throw http_error("a compressed body holds more than " + std::to_string(max_bytes) + " bytes");
    }
    if (status != Z_STREAM_END) {
        throw http_error("a compressed body is damaged");
    }
    return plain_body;
}
} // namespace

void compress_body(header_list& headers, std::string& body)
{
    if (body.size() < min_compressed_bytes) {
        return;
    }
    body = compressed(body);
    headers.emplace_back(coding_header, coding);
}

std::string decompressed_body(const header_list& headers, const std::string& body, std::size_t max_bytes)
{
    const auto used_coding = find_header(headers, coding_header);
    if (used_coding.empty()) {
        return body;
    }
    if (used_coding != coding) {
        throw http_error("the content coding '" + std::string(used_coding) + "' is unknown");
    }
    return decompressed(body, max_bytes);
}
} // namespace buckthornhill::http
