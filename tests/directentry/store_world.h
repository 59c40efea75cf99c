#pragma once

#include "datagrams/datagram_message.h"
#include "fake_adapter.h"
#include "fake_store.h"
#include "fakes/event_queue.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace appleramp::tests {

struct store_world_settings {
    std::uint64_t seed = 1;
    // Entries of each zone.
    std::vector<std::size_t> zones { 24, 24, 23 };
    bool fastReturn = true;
    // Fraction of the datagrams that are lost, and the longest further delay of any.
    double datagramLoss = 0;
    duration datagramJitter {};
    // Keys with which callers send requests to each entry.
    std::vector<std::string> callerKeys { "kept", "old" };
    std::shared_ptr<const platform_adapter> adapter = std::make_shared<fake_adapter>();
    // Called when an entry sends a request with that key to an endpoint; may be empty.
    std::function<void(const std::string& entry, const std::string& key)> onSent;
    // The operator's row before the first change.
    std::string firstConfiguration = "1 kept old";
};

// Entries with their real followers and reducers, a store that fails, and callers with keys, in virtual time. Each entry's clock
// has an offset of its own.
class store_world {
public:
    explicit store_world(store_world_settings settings);
    ~store_world();
    store_world(const store_world&) = delete;
    store_world& operator=(const store_world&) = delete;

    fake_store& store() { return m_store; }
    instant now() const { return m_events.now(); }
    void at(duration time, std::function<void()> action) { m_events.runAt(instant(time), std::move(action)); }
    void runUntil(duration time);

    // The operator's row: this version with these keys.
    void configure(unsigned version, const std::string& keys);
    // Withdraws the key "old" with that version of the configuration.
    void revokeOld(unsigned version);

    // Names sort by zone and number; the first of a zone reads the store.
    static std::string name(std::size_t zone, std::size_t number);
    void kill(const std::string& entry);
    void restart(const std::string& entry);
    void freeze(const std::string& entry, duration length);
    // No datagram passes between the entry and the others for that long.
    void cut(const std::string& entry, duration length);

    // The entry that probes the lost store for a zone.
    const std::string& prober(std::size_t zone) const { return m_probers.at(std::string(1, static_cast<char>('a' + zone))); }
    // Fraction of the requests with the valid key that were sent to an endpoint in a span of time; one without requests.
    double served(duration from, duration until) const;
    // From the store's acknowledgement of the revocation to the last use of the key "old"; nothing if it was not used after it.
    std::optional<duration> lastUseAfterRevocation() const;
    // From `from` to the last time that the entry sent a request with that key to an endpoint; nothing if it did not.
    std::optional<duration> lastUse(const std::string& entry, const std::string& key, duration from) const;
    // Latest time at which an entry logged `what` from that time on; nothing if an entry did not.
    std::optional<duration> lastLogged(const std::string& what, duration from) const;
    // Lines of that kind of all entries.
    std::size_t logged(const std::string& what) const;
    // From `from` to the first confirmation, at each entry, of a read that was sent after it.
    std::vector<duration> confirmationDelays(duration from) const;
    // Retry-After values of refusals in a span of time.
    std::vector<duration> retryAfters(duration from, duration until) const;

private:
    struct entry;
    class client;
    friend class client;
    struct outcome {
        instant when;
        bool sent = false;
        std::optional<duration> retryAfter;
    };
    struct confirmation {
        instant when;
        instant currentAsOf;
    };

    void start(entry& self);
    void run(entry& self, std::function<void()> action);
    void runAfter(entry& self, duration delay, std::function<void()> action);
    void send(const entry& from, const std::string& to, datagram_message message);
    void receive(entry& self, const std::string& from, const datagram_message& message);
    void post(entry& self, const forwarding_event& event);
    void tick(entry& self);
    void tellPresence(entry& self);
    void request(entry& self, const std::string& key);
    void onMemberRows(entry& self, const std::vector<store_row>& rows, bool isWhole);
    entry* find(const std::string& name);
    duration random(duration longest);

    store_world_settings m_settings;
    event_queue m_events;
    fake_store m_store { m_events };
    std::minstd_rand m_random;
    std::map<std::string, std::unique_ptr<entry>> m_entries;
    std::map<std::string, std::string> m_probers;
    std::vector<outcome> m_outcomes;
    std::map<std::string, std::vector<confirmation>> m_confirmations;
    std::map<std::string, std::map<std::string, std::vector<instant>>> m_logged;
    std::optional<instant> m_revokedAt;
    // By entry and key.
    std::map<std::string, std::map<std::string, instant>> m_lastUses;
};

} // namespace appleramp::tests
