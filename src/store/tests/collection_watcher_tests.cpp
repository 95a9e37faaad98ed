#include <algorithm>
#include <charconv>
#include <functional>

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "global/pause_detector.h"
#include "http/http_server.h"
#include "store/collection_watcher.h"
#include "store/store_errors.h"

using namespace buckthornhill;
using namespace buckthornhill::store;
using std::chrono::milliseconds;

namespace {
std::uint64_t number_in(std::string_view text)
{
    std::uint64_t number = 0;
    if (std::from_chars(text.data(), text.data() + text.size(), number).ec != std::errc{}) {
        throw store_error("not a number");
    }
    return number;
}

//! Parses object names and the version from `name,name@version`; a `+` at the end means that more pages
//! follow.
list_page decode_names(const std::string& body)
{
    list_page page;
    const auto at = body.find('@');
    if (at == std::string::npos) {
        throw store_error("no version");
    }
    page.version = object_version(number_in(body.substr(at + 1)));
    page.has_more = body.ends_with('+');
    std::string name;
    for (const char letter : body.substr(0, at) + ",") {
        if (letter != ',') {
            name += letter;
        } else if (!name.empty()) {
            page.continues_after = name;
            page.objects.push_back({std::exchange(name, {}), "text", page.version});
        }
    }
    return page;
}

//! Names of objects in changes begin with this when they are removed.
constexpr char removal_mark = '-';

//! Whether what the update lacks or removes may be used for some more time.
bool may_have_lapsed(const collection_update& update)
{
    return update.lapse_deadline || std::ranges::any_of(update.changes, [](const auto& change) {
               return change.lapse_deadline.has_value();
           });
}

store_dialect make_dialect()
{
    store_dialect dialect;
    dialect.list = [](collection which, const std::string& after, bool) {
        http::http_request request;
        request.target = "/" + std::string(to_string(which)) + "?after=" + after;
        return request;
    };
    dialect.watch = [](collection which, object_version since, milliseconds wait) {
        http::http_request request;
        request.target = "/" + std::string(to_string(which)) + "?since=" + std::to_string(since.value());
        if (wait < milliseconds(10)) {
            request.target += "&answer=at-once";
        }
        return request;
    };
    dialect.put = [](collection, const std::string& name, const std::string&, bool exists) {
        http::http_request request;
        request.method = exists ? "PUT" : "POST";
        request.target = "/put/" + name;
        return request;
    };
    dialect.decode_era = [](const http::http_response& response) -> std::optional<store_era> {
        const auto era = http::find_header(response.headers, "era");
        return era.empty() ? std::nullopt : std::optional(store_era(number_in(era)));
    };
    dialect.decode_page = decode_names;
    dialect.decode_changes = [](const std::string& body) {
        const auto page = decode_names(body);
        change_batch batch{{}, page.version};
        for (const auto& object : page.objects) {
            batch.changes.push_back({object, object.name.starts_with(removal_mark)});
        }
        return batch;
    };
    return dialect;
}

//! Status in a script for a call that the store never responds to.
constexpr unsigned no_response = 0;

collection_watcher_configuration fast_configuration(milliseconds first_pause)
{
    collection_watcher_configuration configuration;
    configuration.recovery_bound = milliseconds(100);
    configuration.min_backoff = milliseconds(1);
    configuration.max_backoff = milliseconds(1);
    configuration.min_pause = milliseconds(1);
    configuration.max_pause = milliseconds(1);
    configuration.first_pause = first_pause;
    configuration.renewal_interval = milliseconds(0);
    return configuration;
}

//! The configuration whose recovery bound leaves the grace period after an outage.
collection_watcher_configuration doubting_configuration()
{
    auto configuration = fast_configuration(milliseconds(1));
    configuration.recovery_bound = milliseconds(3000);
    return configuration;
}

//! A store that responds to calls for the upstreams and for `put` from a script, and never responds to other
//! calls.
class scripted_store
{
public:
    using answer = std::pair<unsigned, std::string>;

    explicit scripted_store(std::vector<answer> answers, milliseconds first_pause = milliseconds(1))
        : scripted_store(std::move(answers), fast_configuration(first_pause))
    {
    }

    scripted_store(std::vector<answer> answers, const collection_watcher_configuration& configuration)
        : script(std::move(answers))
        , server(this->context, {"127.0.0.1", 0}, http::server_limits{},
                 [this](const http::exchange_ptr& exchange) { this->on_call(exchange); })
        , watcher(
              this->context, this->server.local_endpoint(), make_dialect(), configuration,
              [this](const watcher_event& event) { return this->on_event(event); },
              [] { return std::uint64_t{0}; })
    {
    }

    //! Runs until all scripted responses are used.
    void run(bool publishes = false)
    {
        if (publishes) {
            this->watcher.publish_instance("n1", "{}", this->is_older);
        } else {
            this->watcher.resume(this->known);
        }
        this->context.run();
    }

    //! Registers the instance in era 1 and, a little later, names era 2.
    void run_restored_registration()
    {
        this->watcher.publish_instance("n1", "{}", this->is_older);
        this->context.run_for(milliseconds(50));
        this->watcher.on_era(store_era(2));
        this->context.restart();
        this->context.run_for(milliseconds(100));
    }

    std::map<std::size_t, std::uint64_t> eras;      //!< named from this response on
    std::map<collection, collection_version> known; //!< versions that the watcher starts from

    std::vector<std::string> calls;
    std::vector<time_point> called_at;
    std::vector<std::chrono::nanoseconds> called_since_boot; //!< when the calls arrived
    std::vector<collection_update> updates;
    std::vector<bool> contacts;
    std::vector<store_era> era_changes;
    std::size_t calls_until_era = 0; //!< after so many calls a peer names era 2
    bool scripts_instances = false;
    std::function<bool(const stored_object&)> is_older;
    std::function<bool()> accepts_update = [] { return true; };

private:
    void on_call(const http::exchange_ptr& exchange)
    {
        const auto& request = exchange->request();
        const bool is_scripted = request.target.starts_with("/upstreams") ||
                                 request.target.starts_with("/put") ||
                                 (this->scripts_instances && request.target.starts_with("/instances"));
        if (!is_scripted) {
            this->waiting.push_back(exchange);
            return;
        }
        this->calls.push_back(request.method + " " + request.target);
        this->called_at.push_back(std::chrono::steady_clock::now());
        this->called_since_boot.push_back(time_since_boot());
        if (this->calls.size() == this->calls_until_era) {
            this->watcher.on_era(store_era(2));
        }
        if (this->next == this->script.size()) {
            this->waiting.push_back(exchange);
            this->context.stop();
            return;
        }
        if (this->script[this->next].first == no_response) {
            ++this->next;
            this->waiting.push_back(exchange);
            return;
        }
        http::http_response response;
        response.status = this->script[this->next].first;
        response.body = this->script[this->next].second;
        const auto era = this->eras.upper_bound(this->next);
        if (era != this->eras.begin()) {
            response.headers.emplace_back("era", std::to_string(std::prev(era)->second));
        }
        ++this->next;
        exchange->respond(std::move(response));
        if (request.method == "PUT") {
            this->context.stop();
        }
    }

    bool on_event(const watcher_event& event)
    {
        if (const auto* contact = std::get_if<contact_change>(&event)) {
            this->contacts.push_back(contact->is_in_contact);
            return true;
        }
        if (const auto* change = std::get_if<era_change>(&event)) {
            this->era_changes.push_back(change->era);
            return true;
        }
        if (!this->accepts_update()) {
            return false;
        }
        this->updates.push_back(std::get<collection_update>(event));
        return true;
    }

    boost::asio::io_context context;
    std::vector<answer> script;
    std::size_t next = 0;
    std::vector<http::exchange_ptr> waiting;
    http::http_server server;
    collection_watcher watcher;
};
} // namespace

TEST_CASE("[GIVEN] a list of several pages [WHEN] it is read [THEN] it is delivered as a whole, followed by "
          "changes",
          "[store]")
{
    scripted_store store({{200, "a,b@5+"}, {200, "c@6"}, {200, "d@9"}});
    store.run();
    CHECK(store.calls == std::vector<std::string>{"GET /upstreams?after=", "GET /upstreams?after=b",
                                                  "GET /upstreams?since=5", "GET /upstreams?since=9"});
    REQUIRE(store.updates.size() == 2);
    CHECK(store.updates[0].is_snapshot);
    CHECK(store.updates[0].changes.size() == 3);
    CHECK(store.updates[0].version == object_version(5));
    CHECK_FALSE(store.updates[1].is_snapshot);
    CHECK_FALSE(may_have_lapsed(store.updates[1]));
    CHECK(store.contacts == std::vector<bool>{true});
}

//! Guards against an upstream that reports to leave between two pages and is used until it ends.
TEST_CASE(
    "[GIVEN] a list of several pages [WHEN] an object of the first changes before the last is read [THEN] "
    "the change arrives",
    "[store]")
{
    scripted_store store({{200, "a,b@5+"}, {200, "c@9"}, {200, "a@9"}});
    store.run();
    REQUIRE(store.calls.size() >= 3);
    CHECK(store.calls[2] == "GET /upstreams?since=5");
    REQUIRE(store.updates.size() == 2);
    CHECK(store.updates[1].changes.at(0).object.name == "a");
}

//! Guards against an instance that asks for the same page without a pause, or takes a part of a list for all.
TEST_CASE(
    "[GIVEN] a list whose pages lead nowhere new [WHEN] it is read [THEN] nothing is delivered, and the "
    "pauses between the passes grow",
    "[store][pattern: odd names in a list of several pages]")
{
    const auto* repeated = GENERATE("a,b@5+", "@5+");
    constexpr std::size_t passes = 4;
    auto configuration = fast_configuration(milliseconds(1));
    configuration.min_backoff = milliseconds(20);
    configuration.max_backoff = milliseconds(80);
    std::vector<scripted_store::answer> answers;
    for (std::size_t i = 0; i < passes; ++i) {
        answers.insert(answers.end(), {{200, "a,b@5+"}, {200, repeated}});
    }
    answers.insert(answers.end(), {{200, "a,b@5+"}, {200, "c@5"}});
    scripted_store store(answers, configuration);
    store.run();
    REQUIRE(store.updates.size() == 1);
    CHECK(store.updates[0].is_snapshot);
    CHECK(store.updates[0].changes.size() == 3);
    CHECK(store.contacts == std::vector<bool>{true});
    const std::vector pauses{milliseconds(20), milliseconds(40), milliseconds(80), milliseconds(80)};
    for (std::size_t i = 0; i < passes; ++i) {
        CHECK(store.calls[2 * i] == "GET /upstreams?after=");
        CHECK(store.calls[2 * i + 1] == "GET /upstreams?after=b");
        CHECK(store.called_at[2 * i + 2] - store.called_at[2 * i + 1] >= pauses[i]);
    }
}

//! Guards against pauses that never grow because the first page of a list always comes.
TEST_CASE(
    "[GIVEN] a store that refuses the second page of a list [WHEN] the list is repeated [THEN] the pauses "
    "grow",
    "[store][pattern: odd names in a list of several pages]")
{
    auto configuration = fast_configuration(milliseconds(1));
    configuration.min_backoff = milliseconds(20);
    configuration.max_backoff = milliseconds(80);
    configuration.recovery_bound = milliseconds(0);
    std::vector<scripted_store::answer> answers;
    for (int i = 0; i < 4; ++i) {
        answers.insert(answers.end(), {{200, "a,b@5+"}, {400, ""}});
    }
    scripted_store store(answers, configuration);
    store.known[collection::configuration] = {store_era(), object_version(1)};
    store.run();
    REQUIRE(store.called_at.size() == 9);
    CHECK(store.called_at[4] - store.called_at[3] >= milliseconds(40));
    CHECK(store.called_at[6] - store.called_at[5] >= milliseconds(80));
}

TEST_CASE(
    "[GIVEN] a store that lost its history [WHEN] it responds with 410 [THEN] the collection is listed again",
    "[store]")
{
    scripted_store store({{200, "a@5"}, {410, ""}, {200, "b@8"}});
    store.run();
    REQUIRE(store.updates.size() == 2);
    CHECK(store.updates[1].is_snapshot);
    CHECK(store.updates[1].changes.at(0).object.name == "b");
}

TEST_CASE("[GIVEN] a store that refuses this instance [WHEN] it responds normally again [THEN] changes are "
          "marked as after an outage",
          "[store][pattern: the store refuses some machines]")
{
    for (const auto& refusal : {scripted_store::answer{503, ""}, {429, ""}, {200, "unreadable"}}) {
        scripted_store store({{200, "a@5"}, refusal, refusal, {200, "@7"}, {200, "-b@8"}},
                             doubting_configuration());
        store.run();
        REQUIRE(store.updates.size() >= 2);
        CHECK(may_have_lapsed(store.updates.back()));
        CHECK(store.contacts == std::vector<bool>{true, false, true});
    }
}

//! Guards against a grace period that begins when a removal is heard: an upstream that leaves some time after
//! an outage was used for the whole of it once more.
TEST_CASE(
    "[GIVEN] a store back from an outage [WHEN] removals are heard one after the other [THEN] the grace "
    "period of all ends at the same time",
    "[store][pattern: upstreams leave after an outage of the store]")
{
    auto configuration = doubting_configuration();
    configuration.min_pause = milliseconds(40);
    configuration.max_pause = milliseconds(40);
    scripted_store store({{200, "a,b,c@5"}, {503, ""}, {200, "-a@6"}, {200, "-b@7"}, {410, ""}, {200, "d@8"}},
                         configuration);
    store.run();
    REQUIRE(store.updates.size() == 4);
    const auto contact = store.called_at[2];
    const auto end = store.updates[1].changes.at(0).lapse_deadline;
    REQUIRE(end);
    CHECK(*end >= contact + configuration.lapse_grace);
    CHECK(*end < contact + configuration.lapse_grace + milliseconds(40));
    CHECK(store.updates[2].changes.at(0).lapse_deadline == end);
    CHECK(store.updates[3].lapse_deadline == end);
}

//! Guards against a removal that is heard after the grace period and counts as a lapse.
TEST_CASE("[GIVEN] a store back from an outage [WHEN] a removal is heard after the grace period [THEN] it is "
          "final",
          "[store][pattern: upstreams leave after an outage of the store]")
{
    auto configuration = doubting_configuration();
    configuration.lapse_grace = milliseconds(20);
    configuration.min_pause = milliseconds(60);
    configuration.max_pause = milliseconds(60);
    scripted_store store({{200, "a,b@5"}, {503, ""}, {200, "-a@6"}, {200, "-b@7"}}, configuration);
    store.run();
    REQUIRE(store.updates.size() == 3);
    CHECK(may_have_lapsed(store.updates[1]));
    CHECK_FALSE(may_have_lapsed(store.updates[2]));
}

//! Guards against an instance that finds the store late, after its pauses between calls, and uses what has
//! left for longer than the recovery bound allows.
TEST_CASE(
    "[GIVEN] an outage [WHEN] contact is regained late [THEN] the grace period ends within the recovery "
    "bound of the latest call that failed",
    "[store][pattern: upstreams leave after an outage of the store]")
{
    collection_watcher_configuration configuration;
    configuration.recovery_bound = milliseconds(3000);
    const time_point failed_call{std::chrono::hours(1)};
    CHECK(configuration.lapse_deadline(failed_call, failed_call + milliseconds(100)) ==
          failed_call + milliseconds(100) + configuration.lapse_grace);
    const auto late = configuration.lapse_deadline(failed_call, failed_call + milliseconds(2000));
    CHECK(late < failed_call + configuration.recovery_bound);
    CHECK(late > failed_call + milliseconds(2000));
}

//! Guards against removed upstreams that stay in use because a single call to the store had failed.
TEST_CASE("[GIVEN] contact with the store [WHEN] it is lost for a time in which nothing can expire [THEN] "
          "removals are not marked as after an outage",
          "[store]")
{
    auto configuration = doubting_configuration();
    configuration.renewal_interval = milliseconds(40);
    configuration.renewals_until_expiry = 100;
    std::vector<scripted_store::answer> answers(8, {200, "a@5"});
    answers.insert(answers.end(), {{503, ""}, {200, "-a@7"}, {200, "-b@8"}});
    configuration.min_pause = milliseconds(20);
    configuration.max_pause = milliseconds(20);
    scripted_store store(answers, configuration);
    store.run();
    REQUIRE(store.contacts == std::vector<bool>{true, false, true});
    REQUIRE(store.updates.size() == 10);
    CHECK_FALSE(may_have_lapsed(store.updates[8]));
    CHECK_FALSE(may_have_lapsed(store.updates[9]));
}

//! Guards against upstreams that are dropped although only the second of two short outages let them expire.
TEST_CASE(
    "[GIVEN] two short outages [WHEN] the time between them is too short for renewals [THEN] they count "
    "as one",
    "[store]")
{
    auto configuration = doubting_configuration();
    configuration.renewal_interval = milliseconds(40);
    configuration.min_backoff = milliseconds(50);
    configuration.max_backoff = milliseconds(50);
    configuration.min_pause = milliseconds(20);
    configuration.max_pause = milliseconds(20);
    std::vector<scripted_store::answer> answers(5, {200, "a@5"});
    answers.insert(answers.end(), {{503, ""}, {200, "@5"}, {503, ""}, {200, "-b@8"}});
    scripted_store store(answers, configuration);
    store.run();
    REQUIRE(store.updates.size() == 7);
    CHECK(may_have_lapsed(store.updates[6]));
}

TEST_CASE("[GIVEN] a long poll whose connection was reset [WHEN] it is repeated [THEN] the store is asked to "
          "respond at once",
          "[store][pattern: connections of all instances are reset]")
{
    //! An entry that is removed long after the reset must not be taken for one that expired during an outage,
    //! so the restored contact must be noticed before the next change.
    scripted_store store({{200, "a@5"}, {503, ""}, {200, "@5"}, {200, "b@6"}});
    store.run();
    REQUIRE(store.calls.size() == 5);
    CHECK(store.calls[1] == "GET /upstreams?since=5");
    CHECK(store.calls[2] == "GET /upstreams?since=5&answer=at-once");
    CHECK(store.calls[3] == "GET /upstreams?since=5");
}

TEST_CASE("[GIVEN] a receiver that is full [WHEN] it does not accept an update [THEN] the collection is "
          "listed again",
          "[store]")
{
    scripted_store store({{200, "a@5"}, {200, "a@5"}});
    int offered = 0;
    store.accepts_update = [&offered] { return ++offered > 1; };
    store.run();
    REQUIRE(store.updates.size() == 1);
    CHECK(store.updates[0].is_snapshot);
    CHECK(store.calls.size() == 3);
}

TEST_CASE(
    "[GIVEN] an object left from an earlier run [WHEN] this instance registers [THEN] the object is replaced",
    "[store]")
{
    scripted_store store({{409, ""}, {200, ""}});
    store.run(true);
    CHECK(store.calls == std::vector<std::string>{"POST /put/n1", "PUT /put/n1"});
}

TEST_CASE(
    "[GIVEN] a collection received from a peer [WHEN] the store is watched again [THEN] watching continues "
    "from its version",
    "[store][pattern: the relay of a failure domain ends]")
{
    scripted_store store({{200, "-b@9"}}, doubting_configuration());
    store.known[collection::upstreams] = {{}, object_version(7)};
    store.run();
    REQUIRE(store.calls.size() == 2);
    CHECK(store.calls[0] == "GET /upstreams?since=7&answer=at-once");
    CHECK(store.calls[1] == "GET /upstreams?since=9");
    REQUIRE(store.updates.size() == 1);
    CHECK_FALSE(may_have_lapsed(store.updates[0]));
}

TEST_CASE(
    "[GIVEN] a collection received from a peer [WHEN] the store is unreachable at first [THEN] changes are "
    "marked as after an outage",
    "[store][pattern: the relay of a failure domain ends in an outage]")
{
    //! The calls for the configuration show when the outage is over; they get no response.
    auto configuration = doubting_configuration();
    configuration.recovery_bound = milliseconds(1000);
    configuration.poll_timeout = milliseconds(100);
    scripted_store store({{503, ""}, {200, "-b@9"}}, configuration);
    store.known[collection::configuration] = {{}, object_version(7)};
    store.known[collection::upstreams] = {{}, object_version(7)};
    store.run();
    REQUIRE(store.updates.size() == 1);
    CHECK(may_have_lapsed(store.updates[0]));
}

TEST_CASE("[GIVEN] a starting process [WHEN] it has the first list [THEN] it pauses to find a relay",
          "[store][pattern: hundreds of instances start]")
{
    constexpr milliseconds pause(40);
    scripted_store store({{200, "a@5"}, {200, "b@9"}}, pause);
    store.run();
    REQUIRE(store.calls.size() == 3);
    CHECK(store.calls[1] == "GET /upstreams?since=5");
    CHECK(store.called_at[1] - store.called_at[0] >= pause);
}

//! Guards against calls that a silent store has lost and that pass for waiting ones long after it is back.
TEST_CASE(
    "[GIVEN] a long poll that a silent store has lost [WHEN] the store is back [THEN] it is called again "
    "within the recovery bound",
    "[store][pattern: the store is silent]")
{
    collection_watcher_configuration configuration;
    configuration.first_pause = milliseconds(1);
    scripted_store store({{200, "a@5"}, {no_response, ""}, {200, "b@9"}}, configuration);
    store.run();
    REQUIRE(store.calls.size() == 4);
    CHECK(store.calls[2] == "GET /upstreams?since=5&answer=at-once");
    CHECK(store.called_at[2] - store.called_at[1] < configuration.recovery_bound);
    CHECK(store.contacts == std::vector<bool>{true, false, true});
}

TEST_CASE(
    "[GIVEN] the bounds of a deployment [WHEN] a call is lost at the end of an outage [THEN] its timeout and "
    "the pause after it are shorter than the recovery bound",
    "[store][pattern: the store is silent]")
{
    for (const auto bound : {milliseconds(3000), milliseconds(4000), milliseconds(8000)}) {
        collection_watcher_configuration configuration;
        configuration.recovery_bound = bound;
        const auto longest_pause = 2 * configuration.min_backoff;
        CHECK(configuration.poll_duration(collection::upstreams) + configuration.poll_timeout +
                  longest_pause <
              bound);
        CHECK(configuration.list_timeout + longest_pause < bound);
        CHECK(configuration.max_backoff + configuration.min_backoff < bound);
    }
}

TEST_CASE(
    "[GIVEN] instances that depend on this one [WHEN] it confirms a collection [THEN] the next confirmation "
    "follows before they have to call the store",
    "[store][pattern: the relay of a failure domain is cut off]")
{
    for (const auto bound : {milliseconds(2000), milliseconds(3000), milliseconds(5000)}) {
        collection_watcher_configuration configuration;
        configuration.change_bounds[collection::configuration] = bound;
        const auto age = configuration.max_confirmation_age(collection::configuration);
        CHECK(age < bound);
        CHECK(configuration.poll_duration_with_dependents(collection::configuration) +
                  configuration.max_pause_with_dependents <
              age);
    }
}

//! Guards against followers that all leave their relay some seconds after each start, since its first long
//! poll follows the first list after a longer pause than usual.
TEST_CASE("[GIVEN] instances that depend on one that has just started [WHEN] its first long poll ends [THEN] "
          "its first list still counts as recent",
          "[store][pattern: all instances start at once]")
{
    const collection_watcher_configuration configuration;
    for (const auto& [which, bound] : configuration.change_bounds) {
        const auto poll = configuration.poll_duration_with_dependents(which, configuration.first_pause);
        CHECK(configuration.first_pause + poll < configuration.max_confirmation_age(which));
        CHECK(poll >= milliseconds(0));
        CHECK(poll <= configuration.poll_duration_with_dependents(which));
    }
}

//! Guards against an instance whose configuration counts as unconfirmed between two long polls although the
//! store responds, and against shorter polls where no request depends on them.
TEST_CASE(
    "[GIVEN] a bound on confirmations [WHEN] the configuration is polled [THEN] two polls, the pauses and a "
    "relay's calls fit into it",
    "[store][accounts]")
{
    constexpr milliseconds relay_call(1100); //!< wait and timeout
    collection_watcher_configuration configuration;
    const auto usual = configuration.poll_duration(collection::upstreams);
    CHECK(configuration.poll_duration(collection::configuration) == usual);
    for (const auto bound : {milliseconds(4000), milliseconds(5000), milliseconds(8000)}) {
        configuration.confirmation_bound = bound;
        const auto own = configuration.poll_duration(collection::configuration);
        const auto relayed = configuration.poll_duration_with_dependents(collection::configuration);
        CHECK(2 * own + configuration.max_pause < bound);
        CHECK(2 * relayed + configuration.max_pause_with_dependents + relay_call < bound);
        CHECK(configuration.poll_duration(collection::upstreams) == usual);
    }
}

//! Guards against a confirmation that counts from the store's response, which may have been held up for any
//! time.
TEST_CASE(
    "[GIVEN] a store that responds [WHEN] an update is delivered [THEN] it says when the store was asked",
    "[store][accounts]")
{
    const auto before = time_since_boot();
    scripted_store store({{200, "a,b@5+"}, {200, "c@6"}, {200, "d@9"}});
    store.run();
    REQUIRE(store.updates.size() == 2);
    REQUIRE(store.called_since_boot.size() >= 3);
    CHECK(store.updates[0].asked_at >= before);
    CHECK(store.updates[0].asked_at <= store.called_since_boot[0]);
    CHECK(store.updates[1].asked_at > store.called_since_boot[0]);
    CHECK(store.updates[1].asked_at <= store.called_since_boot[2]);
}

//! Guards against applying changes of a restored store to the state known before.
TEST_CASE("[GIVEN] a store that names eras [WHEN] a long poll or an error names a later one [THEN] the "
          "collection is listed again",
          "[store][pattern: the store is restored from an older copy]")
{
    const auto status = GENERATE(200U, 410U, 503U);
    scripted_store store({{200, "a@50"}, {status, "b@60"}, {200, "c@30"}});
    store.eras = {{0, 1}, {1, 2}};
    store.run();
    REQUIRE(store.updates.size() == 2);
    CHECK(store.updates[0].full_version() == collection_version{store_era(1), object_version(50)});
    CHECK(store.updates[1].is_snapshot);
    CHECK(store.updates[1].full_version() == collection_version{store_era(2), object_version(30)});
    CHECK(store.calls == std::vector<std::string>{"GET /upstreams?after=", "GET /upstreams?since=50",
                                                  "GET /upstreams?after=", "GET /upstreams?since=30"});
    CHECK(store.era_changes == std::vector{store_era(1), store_era(2)});
}

//! Guards against a list whose pages are of two eras.
TEST_CASE("[GIVEN] a list of several pages [WHEN] the store is restored between them [THEN] it starts anew",
          "[store][pattern: the store is restored from an older copy]")
{
    scripted_store store({{200, "a@5"}, {410, ""}, {200, "a,b@50+"}, {200, "c@20"}, {200, "d@21"}});
    store.eras = {{0, 1}, {3, 2}};
    store.run();
    REQUIRE(store.updates.size() == 2);
    REQUIRE(store.updates[1].changes.size() == 1);
    CHECK(store.updates[1].changes[0].object.name == "d");
}

//! Guards against taking a response that was delayed beyond the restore for the current state.
TEST_CASE("[GIVEN] a later era [WHEN] a response of an earlier one arrives [THEN] it is ignored and the call "
          "repeated",
          "[store][pattern: the store is restored from an older copy]")
{
    scripted_store store({{200, "a@50"}, {200, "b@60"}, {200, "c@55"}});
    store.eras = {{0, 2}, {1, 1}, {2, 2}};
    store.run();
    REQUIRE(store.updates.size() == 2);
    CHECK(store.updates[1].changes[0].object.name == "c");
    CHECK(store.calls[2] == "GET /upstreams?since=50");
}

//! Guards against watching a restored store from a version that a peer knew before the restore.
TEST_CASE(
    "[GIVEN] collections received from peers in two eras [WHEN] the store is watched [THEN] those of the "
    "earlier era are listed",
    "[store][pattern: the store is restored from an older copy]")
{
    scripted_store store({{200, "a@9"}});
    store.eras = {{0, 2}};
    store.known[collection::upstreams] = {store_era(1), object_version(70)};
    store.known[collection::configuration] = {store_era(2), object_version(8)};
    store.run();
    CHECK(store.calls[0] == "GET /upstreams?after=");
    REQUIRE(store.updates.size() == 1);
    CHECK(store.updates[0].era == store_era(2));
}

//! Guards against a long poll that goes on waiting, at a store that came back, for changes to what it had
//! before.
TEST_CASE(
    "[GIVEN] a long poll in progress [WHEN] a peer names a later era [THEN] the collection is listed at once",
    "[store][pattern: the store is restored from an older copy]")
{
    scripted_store store({{200, "a@50"}, {no_response, ""}, {200, "b@30"}});
    store.eras = {{0, 1}, {2, 2}};
    store.calls_until_era = 2;
    store.run();
    REQUIRE(store.updates.size() == 2);
    CHECK(store.calls[1] == "GET /upstreams?since=50");
    CHECK(store.calls[2] == "GET /upstreams?after=");
    CHECK(store.updates[1].era == store_era(2));
}

//! Guards against a registration that stays lost, and against replacing that of a later run of this instance.
TEST_CASE(
    "[GIVEN] a registered instance [WHEN] the store is restored [THEN] the object is created if it is absent "
    "and replaced only if it is older",
    "[store][pattern: the store is restored from an older copy]")
{
    const auto is_older = GENERATE(true, false);
    scripted_store store({{200, ""}, {409, ""}, {200, "m1@3+"}, {200, "n1,n2@3"}, {200, ""}});
    store.scripts_instances = true;
    store.eras = {{0, 1}, {1, 2}};
    std::vector<std::string> compared;
    store.is_older = [&](const stored_object& object) {
        compared.push_back(object.name);
        return is_older;
    };
    store.run_restored_registration();
    std::vector<std::string> expected{"POST /put/n1", "POST /put/n1",
                                      "GET /instances?after=", "GET /instances?after=m1"};
    if (is_older) {
        expected.emplace_back("PUT /put/n1");
    }
    CHECK(store.calls == expected);
    CHECK(compared == std::vector<std::string>{"n1"});
}
