#include "single_hold_checker.h"

#include "checked_world.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <set>
#include <unordered_map>

namespace appleramp {

namespace {

constexpr group_epoch epoch = 1;
// Beyond the passes that a starting agent is barred from.
constexpr pass_number firstPass = 200;
constexpr std::size_t experts = 4;
constexpr group_map_version coordinatorsVersion = 1000;
constexpr duration timeLimit = std::chrono::milliseconds(450);

class checker {
public:
    explicit checker(const checked_group& group)
        : m_group(group)
        , m_lastPass(std::max_element(group.requests.begin(), group.requests.end(), [](const auto& left, const auto& right) {
            return left.name.pass < right.name.pass;
        })->name.pass)
        , m_map(std::make_shared<group_map>(group_map::roundRobin(1, experts, group.ranks)))
    {
    }

    check_result run()
    {
        visit(begin(), 0, "begin");
        while (!m_open.empty() && (m_group.maxStates == 0 || m_result.states < m_group.maxStates)) {
            const std::size_t index = m_open.back().second;
            checked_world current = std::move(m_open.back().first);
            m_open.pop_back();
            // Steps that only send something are taken first.
            for (;;) {
                const checked_world before = current;
                m_next.clear();
                expand(current);
                for (const auto& [next, step] : m_next) {
                    if (next.fingerprint() == before.fingerprint())
                        current.addSent(next);
                }
                if (current.isCoveredBy(before) || !m_result.steps.empty())
                    break;
            }
            for (auto& [next, step] : m_next)
                visit(std::move(next), index, std::move(step));
            if (!m_result.steps.empty()) {
                for (std::size_t at = index; at != 0; at = m_parents[at].first)
                    m_result.steps.push_back(m_parents[at].second);
                std::reverse(m_result.steps.begin(), m_result.steps.end());
                return m_result;
            }
        }
        m_result.isComplete = m_open.empty();
        return m_result;
    }

private:
    // All agents know the group for long, and every map that is switched to is prepared or can be.
    checked_world begin()
    {
        checked_world first;
        first.engines.resize(m_group.ranks);
        first.timeouts.resize(m_group.ranks);
        first.pass = 1;
        group_map_version lowest = m_group.requests.front().name.version;
        for (const switch_request& request : m_group.requests)
            lowest = std::min(lowest, request.name.version);
        for (std::uint32_t rank = 0; rank < m_group.ranks; ++rank) {
            first.agents.push_back(newAgent(rank));
            read(first, rank);
        }
        first.pass = firstPass;
        for (std::uint32_t rank = 0; rank < m_group.ranks; ++rank) {
            first.engines[rank].prepared = first.engines[rank].highestVersion = lowest;
            read(first, rank);
            for (const switch_request& request : m_group.requests) {
                addMessage(first, rank, request);
                addMessage(first, rank, status_query { request.name, request.holder.value_or(0) });
                if (request.holder == rank)
                    addOrder(first, rank, { .kind = rank_order_kind::Hold, .epoch = epoch, .pass = request.name.pass });
                if (request.name.version != lowest)
                    addOrder(first, rank, { .kind = rank_order_kind::Prepare, .epoch = epoch, .version = request.name.version, .map = m_map });
            }
            if (m_group.replacedRank == rank)
                addOrder(first, rank, { .kind = rank_order_kind::Prepare, .epoch = epoch, .version = coordinatorsVersion, .map = m_map });
        }
        first.statuses.reset();
        return first;
    }

    group_agent newAgent(std::uint32_t rank) const
    {
        group_agent agent({}, "a");
        agent.setSingleHold(!m_group.hasOldAgent || rank + 1 != m_group.ranks);
        return agent;
    }

    void addOrder(checked_world& to, std::uint32_t rank, const rank_order& order) { to.orders.set(m_orders.numberOf(rank, keyOf(order), order)); }

    void addMessage(checked_world& to, std::uint32_t rank, const group_message& message)
    {
        const std::string key = std::visit(message_key {}, message);
        if (!key.empty())
            to.messages.set(m_messages.numberOf(rank, key, message));
    }

    instant clockOf(const checked_world& in, std::uint32_t rank) const { return instant(std::chrono::seconds(1)) + timeLimit * in.timeouts[rank]; }

    rank_state reading(const checked_world& in, std::uint32_t rank) const
    {
        const checked_engine& source = in.engines[rank];
        return { .rank = rank,
            .ranks = m_group.ranks,
            .epoch = epoch,
            .groupOpen = true,
            .pass = in.pass,
            .mapVersion = source.version,
            .preparedVersion = source.prepared,
            .armedVersion = source.armed,
            .armedPass = source.armed ? std::optional(source.armedPass) : std::nullopt,
            .heldPass = source.held };
    }

    void handle(checked_world& in, std::uint32_t rank, const group_event& event)
    {
        bool readsLists = false;
        for (const group_effect& effect : in.agents[rank].handle(event)) {
            if (const auto* const order = std::get_if<send_order>(&effect))
                addOrder(in, rank, order->order);
            else if (const auto* const message = std::get_if<outgoing_message>(&effect))
                send(in, rank, *message);
            readsLists = readsLists || std::holds_alternative<read_expert_lists>(effect);
        }
        if (readsLists) {
            const checked_engine& source = in.engines[rank];
            const std::vector<std::vector<expert_number>> own { m_map->at(0, rank) };
            handle(in, rank, choice_totals_read { clockOf(in, rank), std::vector<std::uint32_t>(experts) });
            handle(in, rank, expert_lists_read { clockOf(in, rank), epoch, source.version, own, source.prepared, own });
        }
    }

    void send(checked_world& in, std::uint32_t from, const outgoing_message& sent)
    {
        if (const auto* const status = std::get_if<rank_status>(&sent.message)) {
            in.statuses.set(m_statuses.numberOf(0, message_key {}(*status), *status));
            for (const switch_request& request : m_group.requests) {
                if (request.holder && *request.holder != from && isTelling(*status))
                    addMessage(in, *request.holder, *status);
            }
            return;
        }
        for (std::uint32_t to = 0; to < m_group.ranks; ++to) {
            if (to != from && (!sent.rank || *sent.rank == to))
                addMessage(in, to, sent.message);
        }
    }

    static bool isTelling(const rank_status& status) { return status.armedPass || !status.declinedPasses.empty() || !status.singleHoldFromPass; }

    // After each step the status is known to all, however late it may be delivered.
    void report(checked_world& in, std::uint32_t rank)
    {
        if (!in.agents[rank].state())
            return;
        handle(in, rank, group_message_received { clockOf(in, rank), status_request { epoch, m_group.ranks } });
    }

    void read(checked_world& in, std::uint32_t rank)
    {
        handle(in, rank, rank_state_read { clockOf(in, rank), reading(in, rank) });
        report(in, rank);
    }

    void visit(checked_world next, std::size_t from, std::string step)
    {
        std::vector<checked_world>& known = m_known[next.fingerprint()];
        if (std::any_of(known.begin(), known.end(), [&](const checked_world& each) { return next.isCoveredBy(each); }))
            return;
        std::erase_if(known, [&](const checked_world& each) { return each.isCoveredBy(next); });
        // Only what was sent is compared.
        checked_world sent;
        sent.addSent(next);
        known.push_back(std::move(sent));
        ++m_result.states;
        m_parents.emplace_back(from, std::move(step));
        m_open.emplace_back(std::move(next), m_parents.size() - 1);
    }

    void addStep(checked_world next, std::string step)
    {
        ++m_result.transitions;
        m_next.emplace_back(std::move(next), std::move(step));
    }

    void expand(const checked_world& current)
    {
        for (std::uint32_t rank = 0; rank < m_group.ranks; ++rank)
            expandAgent(current, rank);
        for (std::size_t number = 0; number < m_messages.size(); ++number) {
            const auto& [rank, key, message] = m_messages.at(number);
            if (!current.messages[number] || !current.agents[rank].state())
                continue;
            checked_world next = current;
            handle(next, rank, group_message_received { clockOf(next, rank), message });
            report(next, rank);
            addStep(std::move(next), "rank " + std::to_string(rank) + " gets " + key);
        }
        for (std::size_t number = 0; number < m_orders.size(); ++number) {
            const auto& [rank, key, order] = m_orders.at(number);
            if (!current.orders[number])
                continue;
            checked_world next = current;
            next.engines[rank].apply(order, next.pass);
            addStep(std::move(next), "engine " + std::to_string(rank) + " carries out " + std::string(nameOf(order.kind)) + ' ' + key);
        }
        for (const switch_request& request : m_group.requests)
            coordinate(current, request);
        beginPass(current);
    }

    void expandAgent(const checked_world& current, std::uint32_t rank)
    {
        const std::string name = "rank " + std::to_string(rank);
        checked_world next = current;
        read(next, rank);
        addStep(std::move(next), name + " reads");
        if (current.timeouts[rank] < m_group.timeouts) {
            next = current;
            ++next.timeouts[rank];
            read(next, rank);
            addStep(std::move(next), name + " reads after its time limit");
        }
        if (current.restarts < m_group.restarts) {
            next = current;
            ++next.restarts;
            next.agents[rank] = newAgent(rank);
            addStep(std::move(next), name + " restarts");
        }
    }

    // What coordinators do on the statuses that were sent so far.
    void coordinate(const checked_world& current, const switch_request& request)
    {
        const switch_id& name = request.name;
        std::set<std::uint32_t> armed;
        std::set<std::uint32_t> settled;
        bool isDeclined = false;
        for (std::size_t number = 0; number < m_statuses.size(); ++number) {
            if (!current.statuses[number])
                continue;
            const rank_status& status = m_statuses.at(number).sent;
            if (status.armedPass == name.pass && status.armedVersion == name.version)
                armed.insert(status.rank);
            isDeclined = isDeclined || std::find(status.declinedPasses.begin(), status.declinedPasses.end(), name.pass) != status.declinedPasses.end();
            if (canNeverBeArmed(status, name.pass))
                settled.insert(status.rank);
        }
        for (std::uint32_t rank = 0; rank < m_group.ranks; ++rank) {
            const checked_engine& seen = current.engines[rank];
            const bool canArm = (seen.armed && seen.armedPass == name.pass) || seen.prepared == name.version || seen.highestVersion < name.version;
            if (canArm || current.pass >= name.pass || seen.version >= name.version)
                continue;
            isDeclined = true;
            settled.insert(rank);
        }
        if (armed.size() == m_group.ranks)
            conclude(current, { name, true }, true);
        if (isDeclined)
            conclude(current, { name, false }, settled.size() == m_group.ranks);
    }

    void conclude(const checked_world& current, const switch_outcome& outcome, bool mayRelease)
    {
        checked_world next = current;
        for (std::uint32_t rank = 0; rank < m_group.ranks; ++rank) {
            addMessage(next, rank, outcome);
            // Only a rank that was read as armed for the pass is disarmed.
            const checked_engine& seen = current.engines[rank];
            if (!outcome.committed && seen.armed == outcome.name.version && seen.armedPass == outcome.name.pass)
                addOrder(next, rank, { .kind = rank_order_kind::Disarm, .epoch = epoch, .version = outcome.name.version });
            if (mayRelease)
                addOrder(next, rank, { .kind = rank_order_kind::Release, .epoch = epoch, .pass = outcome.name.pass });
        }
        addStep(std::move(next), std::string("a coordinator concludes ") + (outcome.committed ? "commit" : "abort") + (mayRelease ? " and releases" : ""));
    }

    void beginPass(const checked_world& current)
    {
        const pass_number pass = current.pass + 1;
        const bool isHeld = std::any_of(current.engines.begin(), current.engines.end(), [pass](const checked_engine& each) { return each.held && *each.held <= pass; });
        if (isHeld)
            return;
        checked_world next = current;
        next.pass = pass;
        for (checked_engine& each : next.engines) {
            if (each.armed && each.armedPass == pass) {
                each.version = *each.armed;
                each.prepared.reset();
                each.armed.reset();
            }
        }
        const bool isMixed = std::any_of(next.engines.begin(), next.engines.end(), [&](const checked_engine& each) { return each.version != next.engines.front().version; });
        m_result.committedPasses += next.engines.front().version != current.engines.front().version && !isMixed ? 1 : 0;
        m_result.abortedPasses += current.statuses.any() && next.engines.front().version == current.engines.front().version ? 1 : 0;
        if (isMixed) {
            ++m_result.mixedPasses;
            m_result.steps.emplace_back("pass " + std::to_string(pass) + " begins with two maps");
            return;
        }
        // No map changes at any later pass.
        if (pass < m_lastPass)
            addStep(std::move(next), "pass " + std::to_string(pass) + " begins");
    }

    checked_group m_group;
    pass_number m_lastPass;
    std::shared_ptr<const group_map> m_map;
    sent_list<group_message> m_messages;
    sent_list<rank_order> m_orders;
    sent_list<rank_status> m_statuses;
    // What had been sent in the states that were visited, by all else of them.
    std::unordered_map<std::size_t, std::vector<checked_world>> m_known;
    std::vector<std::pair<checked_world, std::string>> m_next;
    std::vector<std::pair<checked_world, std::size_t>> m_open;
    std::vector<std::pair<std::size_t, std::string>> m_parents;
    check_result m_result;
};

} // namespace

check_result checkSingleHold(const checked_group& group) { return checker(group).run(); }

} // namespace appleramp
