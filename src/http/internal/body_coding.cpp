#include "http/body_coding.h"

#include <array>

#include <zlib.h>

#include "http/http_errors.h"

namespace buckthornhill::http {
namespace {
constexpr std::string_view coding_header = "Content-Encoding";
constexpr std::string_view coding = "deflate";
constexpr std::size_t least_packed_bytes = 512; //!< the saving on less is not worth the work
//! A window of 8 KB and little state: bodies are short or repeat themselves within a few hundred bytes.
constexpr int window_bits = 13;
constexpr int memory_level = 6;
constexpr int level = 3;
constexpr std::size_t chunk_bytes = 16UL * 1024;

z_stream stream_over(const std::string& input)
{
    z_stream stream{};
    //! NOTE zlib's interface is older than const; it does not write to its input.
    stream.next_in = reinterpret_cast<Bytef*>(const_cast<char*>(input.data()));
    stream.avail_in = static_cast<uInt>(input.size());
    return stream;
}

std::string deflated(const std::string& plain)
{
    auto stream = stream_over(plain);
    if (deflateInit2(&stream, level, Z_DEFLATED, window_bits, memory_level, Z_DEFAULT_STRATEGY) != Z_OK) {
        throw http_error("a body cannot be compressed: no memory");
    }
    std::string packed(deflateBound(&stream, static_cast<uLong>(plain.size())), '\0');
    stream.next_out = reinterpret_cast<Bytef*>(packed.data());
    stream.avail_out = static_cast<uInt>(packed.size());
    const int status = deflate(&stream, Z_FINISH);
    packed.resize(stream.total_out);
    deflateEnd(&stream);
    if (status != Z_STREAM_END) {
        throw http_error("a body cannot be compressed");
    }
    return packed;
}

std::string inflated(const std::string& packed, std::size_t max_bytes)
{
    auto stream = stream_over(packed);
    if (inflateInit(&stream) != Z_OK) {
        throw http_error("a body cannot be unpacked: no memory");
    }
    std::string plain;
    std::array<char, chunk_bytes> chunk{};
    int status = Z_OK;
    while (status == Z_OK && plain.size() <= max_bytes) {
        stream.next_out = reinterpret_cast<Bytef*>(chunk.data());
        stream.avail_out = static_cast<uInt>(chunk.size());
        status = inflate(&stream, Z_NO_FLUSH);
        plain.append(chunk.data(), chunk.size() - stream.avail_out);
    }
    inflateEnd(&stream);
    if (plain.size() > max_bytes) {
        throw http_error("a packed body holds more than " + std::to_string(max_bytes) + " bytes");
    }
    if (status != Z_STREAM_END) {
        throw http_error("a packed body is damaged");
    }
    return plain;
}
} // namespace

void compress_body(header_list& headers, std::string& body)
{
    if (body.size() < least_packed_bytes) {
        return;
    }
    body = deflated(body);
    headers.emplace_back(coding_header, coding);
}

std::string decompressed_body(const header_list& headers, const std::string& body, std::size_t max_bytes)
{
    const auto used = find_header(headers, coding_header);
    if (used.empty()) {
        return body;
    }
    if (used != coding) {
        throw http_error("the content coding '" + std::string(used) + "' is unknown");
    }
    return inflated(body, max_bytes);
}
} // namespace buckthornhill::http
