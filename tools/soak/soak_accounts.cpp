#include "soak_run.h"

namespace buckthornhill::soak {
using namespace platform::standins;
using std::chrono::milliseconds;

namespace {
constexpr std::uint64_t min_change_pause_ms = 700;
constexpr std::uint64_t change_pause_steps = 16;
constexpr std::uint64_t change_pause_step_ms = 100;

time_point now()
{
    return std::chrono::steady_clock::now();
}
} // namespace

void soak_run::set_up_accounts()
{
    const auto& domains = this->options.played.domains;
    const bool has_regions = !domains.empty() && domains.front().region != domains.back().region;
    this->accounts.emplace(this->options.seed, has_regions ? domains.front().region : std::string());
    for (const auto& account : this->accounts->accounts()) {
        this->record.accounts.on_account(account);
        for (const auto& key : account.keys) {
            this->record.accounts.on_key_added(now(), key, account.name);
        }
    }
}

std::vector<account_description> soak_run::account_descriptions() const
{
    std::vector<account_description> described;
    if (this->accounts) {
        for (const auto& account : this->accounts->accounts()) {
            described.push_back(
                {account.name, account.keys, account.requests_per_second, account.burst, account.regions});
        }
    }
    return described;
}

void soak_run::start_long_silences()
{
    const auto silence = this->options.played.revoke + milliseconds(4000);
    if (this->options.fault_time <= silence) {
        return;
    }
    const auto isolated = this->options.seed % this->gateways->size();
    this->gateways->isolate(isolated, silence);
    this->gateways->pause((isolated + 1) % this->gateways->size(), silence);
    ++this->event_counts["long-silence"];
}

void soak_run::change_keys_again_and_again()
{
    const auto change = this->accounts->change_keys();
    if (!change.added.empty()) {
        this->record.accounts.on_key_added(now(), change.added, change.account);
    }
    this->write_configuration();
    if (!change.revoked.empty()) {
        this->record.accounts.on_key_revoked(now(), change.revoked);
    }
    this->event_counts["key-added"] += change.added.empty() ? 0 : 1;
    this->event_counts["key-revoked"] += change.revoked.empty() ? 0 : 1;
    const auto pause = min_change_pause_ms + (this->options.seed + this->last_version * 7) %
                                                 change_pause_steps * change_pause_step_ms;
    this->calls.run_after(milliseconds(pause), [this] { this->change_keys_again_and_again(); });
}

void soak_run::record_account(const upstream_run& run)
{
    std::string region;
    for (const auto& domain : this->options.played.domains) {
        region = domain.name == run.domain ? domain.region : region;
    }
    this->record.accounts.on_arrival(run.started_at, run.request,
                                     {run.upstream, region, run.account, run.key, run.is_executed});
}
} // namespace buckthornhill::soak
