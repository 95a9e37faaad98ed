#include "store.h"

#include <algorithm>
#include <thread>

namespace buckthornhill::review {
namespace json = boost::json;

namespace {
constexpr std::string_view objects_path = "/api/objects/";
constexpr std::chrono::seconds idle_limit{300};
//! How common encoders of JSON print the byte 0xff of a text that is no UTF-8.
constexpr std::string_view escaped_byte = R"(\udcff)";
constexpr unsigned status_ok = 200;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_conflict = 409;
constexpr unsigned status_unavailable = 503;

std::uint64_t number_of(const std::string& text)
{
    return text.empty() ? 0 : std::stoull(text);
}

void set_body(message& response, unsigned status, std::string body)
{
    response.status = status;
    response.headers = {{"Content-Type", "application/json"}};
    response.body = std::move(body);
}

time_point now()
{
    return std::chrono::steady_clock::now();
}
} // namespace

store::store(const options& store_options)
    : settings(store_options)
{
    this->server =
        std::make_unique<listener>(settings.ip, 0, [this](channel& connection) { this->serve(connection); });
}

store::~store()
{
    {
        const std::lock_guard lock(this->guard);
        this->is_stopping = true;
    }
    this->changed.notify_all();
    this->server.reset();
}

std::string store::stored_object::text() const
{
    const json::object metadata{{"name", this->name},
                                {"revision", this->revision},
                                {"create_revision", this->created},
                                {"finalizers", json::array{}},
                                {"deleting", false}};
    return R"({"metadata":)" + json::serialize(metadata) + R"(,"spec":)" + this->spec + R"(,"status":null})";
}

void store::set_object(const std::string& kind, const std::string& name, std::string spec)
{
    auto& kept = this->objects[kind][name];
    kept.name = name;
    kept.revision = ++this->revision;
    kept.created = kept.created == 0 ? kept.revision : kept.created;
    kept.spec = std::move(spec);
    const auto unreadable = kept.spec.find(unreadable_byte);
    if (unreadable != std::string::npos) {
        kept.spec.replace(unreadable, std::string_view(unreadable_byte).size(), escaped_byte);
    }
    this->history.push_back({this->revision, kind, kept, false});
    this->changed.notify_all();
}

bool store::remove_object(const std::string& kind, const std::string& name)
{
    auto found = this->objects[kind].find(name);
    if (found == this->objects[kind].end()) {
        return false;
    }
    auto object = found->second;
    this->objects[kind].erase(found);
    object.revision = ++this->revision;
    this->history.push_back({this->revision, kind, std::move(object), true});
    this->changed.notify_all();
    return true;
}

time_point store::put(const std::string& kind, const std::string& name, const json::value& spec)
{
    const std::lock_guard lock(this->guard);
    this->set_object(kind, name, json::serialize(spec));
    return now();
}

time_point store::remove(const std::string& kind, const std::string& name)
{
    const std::lock_guard lock(this->guard);
    this->remove_object(kind, name);
    return now();
}

void store::set_silent(bool silent)
{
    const std::lock_guard lock(this->guard);
    this->is_silent = silent;
    this->changed.notify_all();
}

void store::set_busy(bool busy)
{
    const std::lock_guard lock(this->guard);
    this->is_busy = busy;
    this->changed.notify_all();
}

void store::serve(channel& connection)
{
    message request;
    while (connection.read_request(request, now() + idle_limit) == read_status::complete) {
        message response;
        if (!this->answer(request, response) || !connection.write_response(response)) {
            return;
        }
        request = message{};
    }
}

bool store::answer(const message& request, message& response)
{
    if (this->swallow()) {
        return false;
    }
    std::this_thread::sleep_for(this->settings.answer_time);
    if (this->refuse(response)) {
        return true;
    }
    const auto path = request.path();
    if (!path.starts_with(objects_path)) {
        set_body(response, status_not_found, "{}");
        return true;
    }
    const auto object_path = path.substr(objects_path.size());
    const auto slash = object_path.find('/');
    const auto kind = object_path.substr(0, slash);
    const auto name = slash == std::string::npos ? std::string() : object_path.substr(slash + 1);
    if (request.method != "GET") {
        this->write(request, kind, name, response);
        return true;
    }
    const auto since = request.query("watch");
    if (since.empty()) {
        this->list(kind, request.query("after"), response);
        return true;
    }
    return this->watch(kind, number_of(since),
                       milliseconds(static_cast<std::int64_t>(number_of(request.query("wait_ms")))),
                       response);
}

void store::list(const std::string& kind, const std::string& after, message& response)
{
    const std::lock_guard lock(this->guard);
    std::string items;
    std::size_t count = 0;
    const auto& kept = this->objects[kind];
    auto position = after.empty() ? kept.begin() : kept.upper_bound(after);
    for (; position != kept.end() && count < this->settings.page_items; ++position, ++count) {
        items += (count == 0 ? "" : ",") + position->second.text();
    }
    set_body(response, status_ok,
             R"({"items":[)" + items + R"(],"has_more":)" + (position == kept.end() ? "false" : "true") +
                 R"(,"at":)" + std::to_string(this->revision) + "}");
}

bool store::has_changes(const std::string& kind, std::uint64_t since) const
{
    return std::any_of(this->history.rbegin(), this->history.rend(), [&](const change& candidate) {
        return candidate.kind == kind && candidate.revision > since;
    });
}

std::string store::changes_since(const std::string& kind, std::uint64_t since) const
{
    std::string events;
    for (const auto& one : this->history) {
        if (one.kind == kind && one.revision > since) {
            events += events.empty() ? "" : ",";
            events += R"({"removed":)" + std::string(one.is_removed ? "true" : "false") + R"(,"object":)" +
                      one.object.text() + "}";
        }
    }
    return R"({"events":[)" + events + R"(],"at":)" + std::to_string(this->revision) + "}";
}

bool store::swallow()
{
    std::unique_lock lock(this->guard);
    if (!this->is_silent) {
        return false;
    }
    this->changed.wait(lock, [this] { return this->is_stopping; });
    return true;
}

bool store::refuse(message& response)
{
    const std::lock_guard lock(this->guard);
    if (this->is_busy) {
        set_body(response, status_unavailable, "{}");
    }
    return this->is_busy;
}

bool store::watch(const std::string& kind, std::uint64_t since, milliseconds wait, message& response)
{
    std::unique_lock lock(this->guard);
    this->changed.wait_for(lock, wait, [&] {
        return this->is_stopping || this->is_busy || (!this->is_silent && this->has_changes(kind, since));
    });
    if (this->is_stopping) {
        return false;
    }
    if (this->is_busy) {
        set_body(response, status_unavailable, "{}");
        return true;
    }
    set_body(response, status_ok, this->changes_since(kind, since));
    return true;
}

void store::write(const message& request, const std::string& kind, const std::string& name, message& response)
{
    const std::lock_guard lock(this->guard);
    if (request.method == "DELETE") {
        const bool existed = this->remove_object(kind, name);
        set_body(response, existed ? status_ok : status_not_found, "{}");
        return;
    }
    const auto body = json::parse(request.body);
    const auto object_name = std::string(body.at("metadata").at("name").as_string());
    const bool exists = this->objects[kind].contains(object_name);
    if (exists != (request.method == "PUT")) {
        set_body(response, exists ? status_conflict : status_not_found, "{}");
        return;
    }
    this->set_object(kind, object_name, json::serialize(body.at("spec")));
    set_body(response, status_ok, this->objects[kind][object_name].text());
}
} // namespace buckthornhill::review
