#pragma once

#include "decisions/forwarding/forwarding_events.h"
#include "directentry/configuration_readability.h"
#include "membership/member_row.h"
#include "model/freshness_news.h"
#include "settings/process_settings.h"
#include "storefeed/change_codec.h"
#include "storefeed/delayed_call.h"
#include "storefeed/freshness_relay.h"
#include "storefeed/held_questions.h"
#include "storefeed/store_reachability.h"
#include "storefeed/store_watch.h"
#include "storefeed/table_follower.h"
#include "storefeed/watched_store.h"

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace appleramp {

class platform_adapter;

// What the followers need of the entry's process.
struct store_follower_services {
    std::function<instant()> now;
    delayed_call_factory timer;
    std::function<void(const forwarding_event&)> post;
    std::function<void(std::string_view what, const std::vector<std::pair<std::string_view, std::string>>& inputs)> log;
    // Rows of the members table; all of them if `isWhole` is set.
    std::function<void(const std::vector<store_row>& rows, bool isWhole)> onMemberRows;
    // The store came back from an older copy, of this generation.
    std::function<void(std::uint64_t generation)> onStoreRestored;
    // The row of a member; null if it is not known.
    std::function<const member_row*(const std::string& instance)> member;
    std::function<void(const freshness_question& question, const member_row& member)> ask;
    // The rest is used with [store] fast_return only. Addresses are those from which questions came.
    std::function<void(const freshness_answer& answer, const std::string& address)> sendAnswer;
    // To the other entries of the zone.
    std::function<void(const store_notice& notice)> notifyZone;
    // An entry of another zone, another one each time; null if none is known.
    std::function<const member_row*()> entryOfOtherZone;
    // From the last answer of the store to its loss, and from its return to a renewed confirmation of the configuration.
    std::function<void(duration time)> onLossNoticed;
    std::function<void(duration time)> onReturnConfirmed;
};

// Follows the store's tables for an entry, decodes their rows into events, and exchanges with the other entries of the zone which
// contents are current.
class store_followers {
public:
    store_followers(const process_settings& settings, row_store& store, const platform_adapter& platform, store_follower_services services);

    void start(incarnation seed);
    void onTick(instant now);
    // Reports the zones that are out of service if they changed, also because a hold ended.
    void updateZonesOut();

    bool isConfigurationReadable() const { return m_readability.isReadable(); }
    // Generation of the store in which the members were read.
    std::uint64_t membersGeneration() const { return m_members->generation(); }
    // Whether this entry reads the store for its zone.
    bool isDesignatedReader(instant now) const { return !m_relay.designatedReader(now); }

    // Address at which the zone's reader passes on changes; nothing if this entry reads for its zone.
    std::optional<std::string> readerAddress() const;

    void onPeerHeard(instant now, const std::string& instance) { m_relay.onPeerHeard(now, instance); }
    void onAnswer(instant now, const freshness_answer& answer);
    void onNotice(instant now, const store_notice& notice);
    // The answer to a question that came from that address; nothing if a table was not read yet.
    std::optional<freshness_answer> answer(instant now, const std::string& from, const freshness_question& question);
    // What this entry read of a table after the version of another entry of its zone; nothing if its log does not reach back so far.
    std::optional<store_rows> changesFor(const changes_question& question) const;

private:
    std::shared_ptr<table_follower> follower(std::size_t place, std::string table, follower_settings settings, incarnation seed, follower_handlers handlers);
    void askReader(instant now);
    void onQuestion(instant now, const std::string& from, const freshness_question& question);
    std::optional<freshness_answer> answerFor(instant askedAt, instant receivedAt) const;
    void postConfirmation(instant now, instant currentAsOf, std::optional<routing_configuration> configuration);
    // With [store] fast_return.
    bool isFast() const { return m_settings.store.fastReturn; }
    std::array<std::shared_ptr<table_follower>, 4> followers() const { return { m_configuration, m_registry, m_members, m_crashes }; }
    std::uint64_t digestOf(const table_follower& follower) const;
    std::optional<duration> nextReadWait(std::size_t place, duration longestWait) const;
    duration staggeredWait(std::size_t place) const;
    void probe();
    void pushConfirmations(std::size_t place);
    void watchStore(instant now);
    void onStoreAccess(instant now, const store_access_change& change);
    void askOtherZones(instant now);
    void onAccess(std::size_t place, bool reachable);
    void onMembersRestored();
    void onConfigurationRows(const std::vector<store_row>& rows, instant sentAt, bool isWhole);
    void onRegistryWhole(const std::vector<store_row>& rows);
    void onRegistryChanges(const std::vector<store_row>& rows);
    void onCrashRows(const std::vector<store_row>& rows, bool isWhole);
    instant now() const { return m_services.now(); }
    std::optional<endpoint_record> recordOf(const store_row& row);
    void logUnreadable(const store_row& row, const std::string& reason);

    // Tables whose reads show whether the store is reachable.
    static constexpr std::size_t followedTables = 2;

    const process_settings& m_settings;
    const platform_adapter& m_platform;
    store_follower_services m_services;
    row_store& m_platformStore;
    watched_store m_store;
    store_watch m_watch;
    held_questions m_questions;
    freshness_relay m_relay;
    store_reachability m_access { followedTables };
    std::shared_ptr<table_follower> m_configuration;
    std::shared_ptr<table_follower> m_registry;
    std::shared_ptr<table_follower> m_members;
    std::shared_ptr<table_follower> m_crashes;
    // The address of the zone's reader is withheld, so that a probe goes to the store itself.
    bool m_isProbing = false;
    // When entries that do not read for their zone read tables that are still not confirmed after the store's return.
    std::array<duration, 4> m_settleTimes {};
    instant m_otherZonesAskedAt;
    bool m_isReturnConfirmed = true;
    configuration_readability m_readability;
    bool m_membersRestored = false;
    // Zones that are out for this entry, and those that the store lists.
    std::set<availability_zone_id> m_zonesOut;
    std::set<availability_zone_id> m_zonesListedOut;
    instant m_zoneHoldUntil;
    std::set<std::string> m_unreadable;
};

} // namespace appleramp
