#include "trace_replay.h"

#include <fstream>
#include <memory>

#include <boost/json.hpp>

#include "global/json_reader.h"
#include "lists/list_codec.h"
#include "node/entry_node.h"

namespace buckthornhill::node::testing {
namespace json = boost::json;
using std::chrono::milliseconds;

namespace {
constexpr milliseconds tick_interval{20};

class trace_player
{
public:
    trace_player()
    {
        membership::member_description self;
        self.id = instance_id("self");
        self.incarnation = incarnation_id(100);
        self.region = region_id("luzon");
        self.domain = domain_id("luzon-a");
        this->node =
            std::make_unique<entry_node>(self, node_configuration{}, [this] { return ++this->random; });
    }

    void play(const json_reader& line, const json::value& value)
    {
        if (line.has("expect")) {
            this->expect(line);
            return;
        }
        this->seen.clear();
        const auto at = this->start + milliseconds(line.integer("at_ms"));
        const auto event = line.text("event");
        //! NOTE No ticks before `thaw`, because a paused process gets none while time passes.
        while (event != "thaw" && this->now + tick_interval < at) {
            this->now += tick_interval;
            this->node->on_tick(this->now);
            this->collect();
        }
        this->now = at;
        this->handle(event, line, value);
        this->collect();
    }

    std::vector<std::string> differences;

private:
    void handle(const std::string& event, const json_reader& line, const json::value& value)
    {
        if (event == "document") {
            this->node->on_document(this->now, lists::parse_document_name(line.text("name")),
                                    object_version(line.unsigned_integer("version")),
                                    json::serialize(value.at("body")));
        } else if (event == "store_confirmed") {
            this->node->on_store_confirmed(this->now);
        } else if (event == "caller") {
            this->on_caller(line);
        } else if (event == "forwarded") {
            this->node->on_forwarded_request(this->now, this->facts_in(line),
                                             {instance_id(line.text("from")),
                                              region_id(line.text("from_region")),
                                              quota::parse_request_class(line.text_or("class", "no-plan"))});
        } else if (event == "probe") {
            this->node->on_probe_result(
                this->now, upstream_id(line.text("upstream")),
                {line.flag_or("alive", true), line.flag_or("leaving", false), line.integer_or("in_use", 0)});
        } else if (event == "upstream") {
            this->on_upstream(line);
        } else if (event == "peer") {
            this->on_peer(line);
        } else if (event == "cancel") {
            this->node->on_cancelled(this->now, flow_id(line.unsigned_integer("flow")));
        } else if (event != "tick" && event != "thaw") {
            throw json_error(line.path() + ".event: unknown event '" + event + "'");
        } else {
            this->node->on_tick(this->now);
        }
    }

    request_facts facts_in(const json_reader& line) const
    {
        request_facts facts;
        facts.flow = flow_id(line.unsigned_integer("flow"));
        facts.service = service_id(line.text_or("service", "orderdesk"));
        facts.customer = customer_id(line.text_or("customer", ""));
        facts.is_idempotent = line.flag_or("idempotent", true);
        facts.deadline = this->now + milliseconds(line.integer_or("deadline_ms", 1000));
        facts.request_fingerprint =
            fingerprint(static_cast<std::uint64_t>(line.integer_or("print", line.integer("flow"))));
        facts.affinity = facts.request_fingerprint.high_bits();
        facts.body_size = byte_count(static_cast<std::uint64_t>(line.integer_or("bytes", 0)));
        if (line.has("ticket")) {
            facts.ticket = requests::parse_ticket(line.text("ticket"));
        }
        return facts;
    }

    void on_caller(const json_reader& line)
    {
        if (line.has("ticket_count")) {
            this->node->look_up(this->now, service_id("orderdesk"), {},
                                line.unsigned_integer("ticket_count"));
        }
        this->node->on_caller_request(this->now, this->facts_in(line));
    }

    void on_upstream(const json_reader& line)
    {
        const auto flow = line.unsigned_integer("flow");
        const auto& sent = this->started.at(flow);
        upstream_result result;
        const auto status = line.text("status");
        result.status = status == "broken"           ? attempt_status::broken
                        : status == "connect-failed" ? attempt_status::connect_failed
                        : status == "timed-out"      ? attempt_status::timed_out
                                                     : attempt_status::complete;
        result.is_shed = status == "shed";
        result.is_leaving = line.flag_or("leaving", false);
        result.reported_in_use = line.integer_or("in_use", -1);
        this->node->on_upstream_result(this->now, flow_id(flow), sent.attempt, sent.upstream, result);
    }

    void on_peer(const json_reader& line)
    {
        peers::heartbeat message;
        membership::member_record sender;
        sender.description.id = instance_id(line.text("from"));
        sender.description.incarnation = incarnation_id(50);
        sender.description.region = region_id(line.text_or("region", "visayas"));
        sender.description.domain = domain_id("d-" + line.text("from"));
        sender.sequence = ++this->peer_sequence;
        message.members.push_back(sender);
        message.versions = this->node->components().lists.versions();
        message.acknowledged_round = 1'000'000;
        if (line.has("wants")) {
            message.requested_credits[service_id("orderdesk")] = line.integer("wants");
        }
        this->node->on_heartbeat_response(this->now, message);
    }

    void collect()
    {
        for (const auto& action : this->node->take_actions()) {
            if (const auto* sent = std::get_if<start_upstream_action>(&action)) {
                this->started[sent->flow.value()] = *sent;
                this->seen.push_back("started " + std::to_string(sent->flow.value()));
            } else if (const auto* response = std::get_if<response_action>(&action)) {
                auto text = "answer " + std::to_string(response->flow.value()) + " " +
                            std::string(requests::to_string(response->result));
                if (response->reason != admission::refusal_reason::none) {
                    text += " " + std::string(admission::to_string(response->reason));
                }
                this->seen.push_back(std::move(text));
            }
        }
    }

    void expect(const json_reader& line)
    {
        const auto wanted = line.text("expect");
        if (wanted == "nothing") {
            if (!this->seen.empty()) {
                this->differences.push_back(line.path() + ": expected nothing, saw " + this->seen.front());
            }
            return;
        }
        const auto found = std::find(this->seen.begin(), this->seen.end(), wanted);
        if (found != this->seen.end()) {
            this->seen.erase(found);
            return;
        }
        std::string all;
        for (const auto& item : this->seen) {
            all.append(" [").append(item).append("]");
        }
        this->differences.push_back(line.path() + ": expected " + wanted + ", saw" + all);
    }

    time_point start = time_point{} + std::chrono::hours(1);
    time_point now = this->start;
    std::uint64_t random = 0;
    std::uint64_t peer_sequence = 0;
    std::unique_ptr<entry_node> node;
    std::map<std::uint64_t, start_upstream_action> started;
    std::vector<std::string> seen;
};
} // namespace

std::vector<std::string> replay_trace(const std::string& path)
{
    std::ifstream file(path);
    if (!file) {
        return {path + ": cannot be read"};
    }
    trace_player player;
    std::string text;
    for (int number = 1; std::getline(file, text); ++number) {
        if (text.empty()) {
            continue;
        }
        const auto place = "line " + std::to_string(number);
        const auto value = parse_json(text, place);
        player.play(json_reader(value, place), value);
    }
    return player.differences;
}
} // namespace buckthornhill::node::testing
