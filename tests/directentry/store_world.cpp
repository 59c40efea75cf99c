#include "store_world_state.h"

#include <utility>

namespace appleramp::tests {

namespace {

constexpr duration tickInterval = std::chrono::milliseconds(25);
constexpr duration presenceInterval = std::chrono::milliseconds(700);
constexpr duration requestInterval = std::chrono::milliseconds(100);
constexpr duration datagramDelay = std::chrono::microseconds(500);
constexpr duration callTimeout = std::chrono::milliseconds(1500);
constexpr duration readerTimeout = std::chrono::milliseconds(250);
constexpr duration maxReaderAge = std::chrono::milliseconds(1500);
constexpr std::size_t endpoints = 8;

class queued_call : public delayed_call {
public:
    using scheduler = std::function<void(duration, std::function<void()>)>;
    explicit queued_call(scheduler schedule)
        : m_schedule(std::move(schedule))
    {
    }
    ~queued_call() override { ++*m_number; }
    void callAfter(duration delay, action run) override
    {
        m_schedule(delay, [run = std::move(run), number = m_number, mine = ++*m_number] {
            if (*number == mine)
                run();
        });
    }
    void cancel() override { ++*m_number; }

private:
    scheduler m_schedule;
    std::shared_ptr<unsigned> m_number = std::make_shared<unsigned>(0);
};

} // namespace

// An entry's calls: changes come from the zone's reader or else from the store, as zone_store does it.
class store_world::client : public row_store {
public:
    client(store_world& world, entry& self)
        : m_world(world)
        , m_self(self)
    {
    }

    void read(const std::string& table, const std::string&, store_handler done) override { call(table, 0, {}, true, std::move(done)); }
    void write(const std::vector<row_condition>&, const std::vector<row_write>&, store_handler) override { }
    void changes(const std::string& table, std::uint64_t after, duration wait, store_handler done) override
    {
        const auto reader = m_self.followers ? m_self.followers->readerAddress() : std::nullopt;
        if (!reader)
            return call(table, after, wait, false, std::move(done));
        auto finished = std::make_shared<bool>(false);
        const auto finish = [this, finished, table, after, wait, done](std::optional<store_rows> rows) {
            if (std::exchange(*finished, true))
                return;
            if (!rows || rows->rows.empty() || *rows->age > maxReaderAge)
                return call(table, after, wait, false, done);
            done(std::move(*rows));
        };
        const changes_question question { table, m_generations[table], after };
        m_world.runAfter(m_self, datagramDelay * 2, [this, reader = *reader, question, finish] {
            entry* const target = m_world.find(reader);
            if (target == nullptr || !target->alive)
                return finish(std::nullopt);
            // This entry may start again while the reader stands still.
            m_world.run(*target, [&world = m_world, &self = m_self, life = m_self.life, target, question, finish] {
                const auto rows = target->followers->changesFor(question);
                if (self.life == life)
                    world.runAfter(self, datagramDelay * 2, [finish, rows] { finish(rows); });
            });
        });
        m_world.runAfter(m_self, readerTimeout, [finish] { finish(std::nullopt); });
    }

private:
    void call(const std::string& table, std::uint64_t after, duration wait, bool whole, store_handler done)
    {
        auto finished = std::make_shared<bool>(false);
        const auto finish = [this, table, finished, done = std::move(done)](store_result result) {
            if (std::exchange(*finished, true))
                return;
            if (const auto* const rows = std::get_if<store_rows>(&result)) {
                if (rows->generation < m_generation)
                    return done(store_failure::NoResponse);
                m_generation = rows->generation;
                m_generations[table] = rows->generation;
            }
            done(std::move(result));
        };
        m_world.m_store.call(m_self.name, table, after, wait, whole,
            [&world = m_world, &self = m_self, life = m_self.life, finish](store_result result) {
                if (self.life == life)
                    world.run(self, [finish, result = std::move(result)] { finish(result); });
            });
        m_world.runAfter(m_self, wait + callTimeout, [finish] { finish(store_failure::NoResponse); });
    }

    store_world& m_world;
    entry& m_self;
    std::uint64_t m_generation = 0;
    std::map<std::string, std::uint64_t> m_generations;
};

store_world::store_world(store_world_settings settings)
    : m_settings(std::move(settings))
    , m_random(static_cast<std::minstd_rand::result_type>(m_settings.seed + 1))
{
    m_store.put("op", "config", m_settings.firstConfiguration);
    for (std::size_t endpoint = 0; endpoint < endpoints; ++endpoint)
        m_store.put("registry", "e" + std::to_string(endpoint), "10.0.0." + std::to_string(endpoint) + ":80");
    for (std::size_t zone = 0; zone < m_settings.zones.size(); ++zone) {
        for (std::size_t number = 0; number < m_settings.zones[zone]; ++number) {
            auto self = std::make_unique<entry>();
            self->name = name(zone, number);
            self->zone = availability_zone_id(std::string(1, static_cast<char>('a' + zone)));
            self->clockOffset = random(std::chrono::hours(1));
            self->settings.process.instance = instance_id(self->name);
            self->settings.process.zone = self->zone;
            self->settings.store.fastReturn = m_settings.fastReturn;
            self->settings.store.poll = std::chrono::milliseconds(1000);
            m_store.put(std::string(membersTable), self->name, encodeMember({ true, self->zone, self->name, {}, self->name }));
            m_entries.emplace(self->name, std::move(self));
        }
    }
    for (auto& [name, self] : m_entries)
        start(*self);
}

store_world::~store_world() = default;

std::string store_world::name(std::size_t zone, std::size_t number)
{
    return std::string(1, static_cast<char>('a' + zone)) + (number < 10 ? "0" : "") + std::to_string(number);
}

void store_world::start(entry& self)
{
    ++self.life;
    self.alive = true;
    self.frozenUntil = {};
    self.members.clear();
    self.unannounced = true;
    forwarding_settings reducer;
    reducer.zone = self.zone;
    reducer.instance = self.name;
    reducer.seed = m_random();
    reducer.spreadOutageRetries = m_settings.fastReturn;
    self.reducer = std::make_unique<forwarding_reducer>(now() + self.clockOffset, reducer);
    self.store = std::make_unique<client>(*this, self);
    self.followers = std::make_unique<store_followers>(self.settings, *self.store, *m_settings.adapter,
        store_follower_services { .now = [this, &self] { return now() + self.clockOffset; },
            .timer =
                [this, &self] {
                    return std::make_unique<queued_call>([this, &self](duration delay, auto action) { runAfter(self, delay, std::move(action)); });
                },
            .post = [this, &self](const forwarding_event& event) { post(self, event); },
            .log = [](auto, const auto&) {},
            .onMemberRows = [this, &self](const auto& rows, bool isWhole) { onMemberRows(self, rows, isWhole); },
            .onStoreRestored = [](std::uint64_t) {},
            .member = [&self](const std::string& name) -> const member_row* {
                const auto found = self.members.find(name);
                return found == self.members.end() ? nullptr : &found->second;
            },
            .ask = [this, &self](const auto& question, const member_row& member) { send(self, member.datagramAddress, question); },
            .sendAnswer = [this, &self](const auto& answer, const std::string& address) { send(self, address, answer); },
            .notifyZone =
                [this, &self](const store_notice& notice) {
                    if (!notice.isServed)
                        m_probers[self.zone.str()] = notice.prober;
                    for (const auto& [name, member] : self.members) {
                        if (name != self.name && member.zone == self.zone)
                            send(self, name, notice);
                    }
                },
            .entryOfOtherZone = [this, &self]() -> const member_row* {
                std::vector<const member_row*> others;
                for (const auto& [name, member] : self.members) {
                    if (member.zone != self.zone)
                        others.push_back(&member);
                }
                return others.empty() ? nullptr : others[m_random() % others.size()];
            },
            .onLossNoticed = [](duration) {},
            .onReturnConfirmed = [](duration) {} });
    self.followers->start(m_random());
    runAfter(self, random(tickInterval), [this, &self] { tick(self); });
    for (const std::string& key : m_settings.callerKeys)
        runAfter(self, random(requestInterval), [this, &self, key] { request(self, key); });
}

duration store_world::random(duration longest) { return duration(std::uniform_int_distribution<duration::rep>(0, longest.count())(m_random)); }

store_world::entry* store_world::find(const std::string& name)
{
    const auto found = m_entries.find(name);
    return found == m_entries.end() ? nullptr : found->second.get();
}

// What reaches a frozen entry waits until it goes on; what belongs to an earlier life is dropped.
void store_world::run(entry& self, std::function<void()> action)
{
    if (!self.alive)
        return;
    if (now() >= self.frozenUntil)
        return action();
    m_events.runAt(self.frozenUntil, [this, &self, life = self.life, action = std::move(action)] {
        if (self.life == life)
            run(self, action);
    });
}

void store_world::runAfter(entry& self, duration delay, std::function<void()> action)
{
    m_events.runAfter(delay, [this, &self, life = self.life, action = std::move(action)] {
        if (self.life == life)
            run(self, action);
    });
}

void store_world::runUntil(duration time)
{
    while (m_events.runNext(instant(time))) { }
}

void store_world::configure(unsigned version, const std::string& keys) { m_store.put("op", "config", std::to_string(version) + ' ' + keys); }

void store_world::revokeOld(unsigned version)
{
    configure(version, "kept");
    m_revokedAt = now();
}

void store_world::kill(const std::string& entry) { find(entry)->alive = false; }

void store_world::restart(const std::string& entry) { start(*find(entry)); }

void store_world::freeze(const std::string& entry, duration length) { find(entry)->frozenUntil = now() + length; }

void store_world::cut(const std::string& entry, duration length) { find(entry)->cutUntil = now() + length; }

void store_world::send(const entry& from, const std::string& to, datagram_message message)
{
    entry* const target = find(to);
    const bool isLost = std::uniform_real_distribution<double>(0, 1)(m_random) < m_settings.datagramLoss;
    if (target == nullptr || isLost || now() < from.cutUntil || now() < target->cutUntil)
        return;
    m_events.runAfter(datagramDelay + random(m_settings.datagramJitter), [this, target, from = from.name, message = std::move(message)] {
        run(*target, [this, target, from, message] { receive(*target, from, message); });
    });
}

void store_world::receive(entry& self, const std::string& from, const datagram_message& message)
{
    const instant local = now() + self.clockOffset;
    if (const auto* const presence = std::get_if<entry_presence>(&message)) {
        const availability_zone_id zone = presence->zone;
        const bool isNew = self.members.emplace(from, member_row { true, zone, from, {}, {} }).second;
        if (isNew || presence->starting)
            send(self, from, entry_presence { instance_id(self.name), self.zone, {}, true, self.reducer->configurationVersion() });
        if (zone == self.zone)
            self.followers->onPeerHeard(local, from);
        post(self, entry_presence_received { local, *presence });
    } else if (const auto* const question = std::get_if<freshness_question>(&message)) {
        if (const auto answer = self.followers->answer(local, from, *question))
            send(self, from, *answer);
    } else if (const auto* const answer = std::get_if<freshness_answer>(&message))
        self.followers->onAnswer(local, *answer);
    else if (const auto* const notice = std::get_if<store_notice>(&message))
        self.followers->onNotice(local, *notice);
}

void store_world::post(entry& self, const forwarding_event& event)
{
    if (const auto* const read = std::get_if<configuration_read>(&event))
        m_confirmations[self.name].push_back({ now(), read->readSentAt - self.clockOffset });
    for (const forwarding_effect& effect : self.reducer->handle(event)) {
        if (const auto* const line = std::get_if<log_decision>(&effect))
            m_logged[std::string(line->what)][self.name].push_back(now());
    }
}

void store_world::tick(entry& self)
{
    const instant local = now() + self.clockOffset;
    if (now() - self.presenceTold >= presenceInterval && !self.members.empty())
        tellPresence(self);
    post(self, timer_ticked { local });
    self.followers->onTick(local);
    runAfter(self, tickInterval, [this, &self] { tick(self); });
}

void store_world::tellPresence(entry& self)
{
    self.presenceTold = now();
    entry_presence presence { instance_id(self.name), self.zone, {}, true, self.reducer->configurationVersion() };
    presence.starting = std::exchange(self.unannounced, false);
    for (const auto& [name, member] : self.members) {
        if (name != self.name && (member.zone == self.zone || presence.starting))
            send(self, member.datagramAddress, presence);
    }
}

void store_world::onMemberRows(entry& self, const std::vector<store_row>& rows, bool isWhole)
{
    if (isWhole)
        self.members.clear();
    for (const store_row& row : rows) {
        if (const auto member = decodeMember(row.value))
            self.members[row.key] = *member;
    }
    post(self, entry_count_read { now() + self.clockOffset, self.members.size(), self.members.size() - 1, 0, {} });
    if (self.unannounced)
        tellPresence(self);
}

void store_world::request(entry& self, const std::string& key)
{
    const instant local = now() + self.clockOffset;
    caller_request caller;
    caller.host = "a.example";
    caller.path = "/read/x";
    caller.sendId = "s";
    caller.apiKey = key;
    caller.timeout = std::chrono::seconds(9);
    caller.contentHash = ++self.lastRequest;
    const request_number number = self.lastRequest;
    outcome result { now(), false, {} };
    for (const forwarding_effect& effect : self.reducer->handle(request_arrived { local, number, caller })) {
        result.sent = result.sent || std::holds_alternative<send_attempt>(effect);
        if (const auto* const refusal = std::get_if<refuse_request>(&effect))
            result.retryAfter = refusal->retryAfter;
    }
    if (result.sent)
        post(self, attempt_succeeded { local, number });
    if (result.sent) {
        m_lastUses[self.name][key] = now();
        if (m_settings.onSent)
            m_settings.onSent(self.name, key);
    }
    if (key == "kept")
        m_outcomes.push_back(result);
    runAfter(self, requestInterval, [this, &self, key] { request(self, key); });
}

} // namespace appleramp::tests
