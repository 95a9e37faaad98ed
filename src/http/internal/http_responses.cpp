#include "http/http_responses.h"

#include "http/body_coding.h"

namespace buckthornhill::http {
http_response text_response(unsigned status, std::string text)
{
    http_response response;
    response.status = status;
    response.headers.emplace_back("Content-Type", "text/plain");
    response.body = std::move(text) + "\n";
    return response;
}

http_response json_response(std::string body)
{
    http_response response;
    response.headers.emplace_back("Content-Type", "application/json");
    response.body = std::move(body);
    return response;
}

http_response compressed_json_response(std::string body)
{
    auto response = json_response(std::move(body));
    compress_body(response.headers, response.body);
    return response;
}
} // namespace buckthornhill::http
