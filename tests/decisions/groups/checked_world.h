#pragma once

#include "decisions/groups/group_agent.h"

#include <bitset>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace appleramp {

// An engine that handles orders as the users' platform specifies.
struct checked_engine {
    group_map_version version = 0;
    group_map_version highestVersion = 0;
    std::optional<group_map_version> prepared;
    std::optional<group_map_version> armed;
    pass_number armedPass = 0;
    std::optional<pass_number> held;

    void apply(const rank_order& order, pass_number pass)
    {
        switch (order.kind) {
        case rank_order_kind::Prepare:
            if (order.version > highestVersion && !armed)
                prepared = highestVersion = order.version;
            return;
        case rank_order_kind::Hold:
            if (order.pass > pass && !held)
                held = order.pass;
            return;
        case rank_order_kind::Arm:
            if (prepared == order.version && order.pass > pass) {
                armed = order.version;
                armedPass = order.pass;
            }
            return;
        case rank_order_kind::Disarm:
            if (armed == order.version)
                armed.reset();
            return;
        case rank_order_kind::Release:
            if (held == order.pass)
                held.reset();
        }
    }
};

inline std::string keyOf(const rank_order& order)
{
    return std::to_string(static_cast<int>(order.kind)) + ' ' + std::to_string(order.version) + ' ' + std::to_string(order.pass);
}

struct message_key {
    std::string operator()(const rank_status& status) const
    {
        std::string key = "status " + std::to_string(status.rank) + " armed " + std::to_string(status.armedVersion.value_or(0)) + '@'
            + std::to_string(status.armedPass.value_or(0)) + " unsettled " + std::to_string(status.unsettledArmPass.value_or(1)) + " declined";
        for (const pass_number pass : status.declinedPasses)
            key += ' ' + std::to_string(pass);
        return key;
    }
    std::string operator()(const switch_request& sent) const { return "request " + name(sent.name) + " holder " + std::to_string(sent.holder.value_or(99)); }
    std::string operator()(const switch_outcome& sent) const { return "outcome " + name(sent.name) + (sent.committed ? " commit" : " abort"); }
    std::string operator()(const status_query& sent) const { return "query " + name(sent.name); }
    std::string operator()(const arm_readiness_request& sent) const { return "readiness? " + name(sent.name) + ' ' + std::to_string(sent.holder); }
    std::string operator()(const arm_readiness& sent) const { return "readiness " + name(sent.name) + ' ' + std::to_string(sent.rank) + (sent.isReady ? " yes" : " no"); }
    std::string operator()(const arm_permission& sent) const { return "permission " + name(sent.name) + ' ' + std::to_string(sent.holder); }
    template <typename Other>
    std::string operator()(const Other&) const
    {
        return {};
    }

    static std::string name(const switch_id& name) { return std::to_string(name.version) + '@' + std::to_string(name.pass); }
};

// One state of a checked group.
struct checked_world {
    std::vector<checked_engine> engines;
    std::vector<group_agent> agents;
    std::vector<unsigned> timeouts;
    pass_number pass = 0;
    unsigned restarts = 0;
    // Those that were sent so far, as numbers in the checker's lists.
    std::bitset<512> messages;
    std::bitset<256> orders;
    // Statuses that any coordinator may have got.
    std::bitset<256> statuses;

    // Messages and orders only add choices, so of two states that differ only in them the one with more is enough.
    bool isCoveredBy(const checked_world& other) const
    {
        return (messages & ~other.messages).none() && (orders & ~other.orders).none() && (statuses & ~other.statuses).none();
    }
    void addSent(const checked_world& other)
    {
        messages |= other.messages;
        orders |= other.orders;
        statuses |= other.statuses;
    }

    // Of all but what was sent.
    std::size_t fingerprint() const
    {
        state_fingerprint print;
        for (const checked_engine& each : engines) {
            for (const auto& number : { each.prepared, each.armed, each.held })
                print.add(number);
            print.add(each.version);
            print.add(each.armed ? each.armedPass : 0);
            print.add(each.highestVersion);
        }
        for (const group_agent& agent : agents)
            agent.addTo(print);
        for (const unsigned timeout : timeouts)
            print.add(std::uint64_t(timeout));
        print.add(pass);
        print.add(std::uint64_t(restarts));
        return std::hash<std::string> {}(print.text());
    }
};

// Numbers things that are sent by receiver and key.
template <typename Sent>
class sent_list {
public:
    struct entry {
        std::uint32_t rank = 0;
        std::string key;
        Sent sent;
    };

    std::size_t numberOf(std::uint32_t rank, std::string key, const Sent& sent)
    {
        const auto [found, isNew] = m_numbers.try_emplace(std::pair(rank, key), m_entries.size());
        if (isNew)
            m_entries.push_back({ rank, std::move(key), sent });
        return found->second;
    }
    std::size_t size() const { return m_entries.size(); }
    const entry& at(std::size_t number) const { return m_entries[number]; }

private:
    std::map<std::pair<std::uint32_t, std::string>, std::size_t> m_numbers;
    std::deque<entry> m_entries;
};

} // namespace appleramp
