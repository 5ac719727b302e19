#include "fake_fleet.h"

#include <algorithm>

namespace pomelohub::testing {

using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr milliseconds grantLifetime { 1000 };

std::string makeIdempotencyKey(wall_time time, std::uint64_t number)
{
    auto millis = static_cast<std::uint64_t>(time.time_since_epoch().count());
    auto hex = [](std::uint64_t value, int digits) {
        std::string text;
        for (int shift = 4 * (digits - 1); shift >= 0; shift -= 4)
            text.push_back("0123456789abcdef"[value >> shift & 15]);
        return text;
    };
    return hex(millis >> 16, 8) + '-' + hex(millis, 4) + "-7" + hex(number, 3) + "-a000-" + hex(number, 12);
}

fake_fleet::fake_fleet(fake_fleet_options options, std::uint64_t seed)
    : m_options(options)
    , m_random(seed)
{
    m_policy.maxStaleness = options.staleLimit;
    m_policy.grantLifetime = grantLifetime;
    m_organisation.id = organisation_id("org");
    m_organisation.requestsPerSecond = options.requestsPerSecond;
    m_organisation.burst = options.burst;
    m_level = options.burst;
    m_levelAt = m_now;
    for (std::size_t i = 0; i < options.nodes; ++i)
        addNode();
}

void fake_fleet::addNode()
{
    auto node = std::make_unique<fake_node>();
    node->name = "node-" + std::to_string(m_nodes.size());
    // Each clock differs from true time by up to half of the allowed difference of two clocks.
    node->clockRate = 1 + (static_cast<double>(pick(101)) - 50) / 100'000;
    m_nodes.push_back(std::move(node));
    start(*m_nodes.back(), true);
}

std::size_t fake_fleet::pick(std::size_t bound) { return m_random() % bound; }

instant fake_fleet::local(const fake_node& node) const
{
    auto elapsed = std::chrono::duration<double>(m_now.time_since_epoch()) * node.clockRate;
    return instant(std::chrono::duration_cast<duration>(elapsed));
}

wall_time fake_fleet::wall(const fake_node& node) const
{
    // Wall clocks differ by a fixed amount, up to two seconds each way.
    milliseconds skew(static_cast<int>(node.name.back() * 37 % 4001) - 2000);
    return wall_time(std::chrono::floor<milliseconds>(m_now.time_since_epoch()) + skew);
}

bool fake_fleet::isUp(const fake_node& node) const { return node.isRunning && node.pausedUntil <= m_now; }

bool fake_fleet::mayUse(const fake_node& node, slot_index slot) const
{
    if (m_options.holdersIgnoreStaleLimit)
        node.slots->recordCaughtUp(local(node));
    return node.slots->mayUse(slot, local(node));
}

void fake_fleet::start(fake_node& node, bool isFirst)
{
    auto policy = m_policy;
    node.slots = std::make_unique<slot_controller>(node.self(), policy);
    node.rates
        = std::make_unique<token_bucket_store>(grantLifetime, policy.maxClockDriftPermille, node.life << 32);
    node.actions = std::make_unique<idempotency_store>(idempotency_policy {});
    node.leases = std::make_unique<token_leases>();
    node.knownHolders.assign(slotCount, std::nullopt);
    node.logRead = 0;
    node.isRunning = true;
    if (!isFirst || !m_log.empty())
        append({ { slot_change::join, node.self(), {}, {} } });
    updateMembers(static_cast<std::size_t>(std::stoul(node.name.substr(5))));
}

void fake_fleet::crash(std::size_t index) { m_nodes[index]->isRunning = false; }

void fake_fleet::restart(std::size_t index)
{
    auto& node = *m_nodes[index];
    // The former process must have ended before its port can be bound again.
    node.isRunning = false;
    node.pausedUntil = m_now;
    node.isCutFromLog = false;
    ++node.life;
    start(node, false);
}

void fake_fleet::isolate(std::size_t index)
{
    m_nodes[index]->isCutFromLog = true;
    for (auto& other : m_nodes)
        other->thoughtDead.insert(index);
    m_nodes[index]->thoughtDead.clear();
}

void fake_fleet::append(const std::vector<slot_record>& records)
{
    if (!m_isLogAway)
        m_log.insert(m_log.end(), records.begin(), records.end());
}

void fake_fleet::updateMembers(std::size_t index)
{
    auto& node = *m_nodes[index];
    std::vector<slot_candidate> members;
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        bool isAlive = i == index || !node.thoughtDead.contains(i);
        members.push_back({ m_nodes[i]->self(), isAlive });
    }
    node.slots->setMembers(members);
}

void fake_fleet::readLog(fake_node& node)
{
    if (m_isLogAway || node.isCutFromLog)
        return;
    auto now = local(node);
    for (; node.logRead < m_log.size(); ++node.logRead)
        node.slots->apply(m_log[node.logRead], now);
    node.slots->recordCaughtUp(now);
    node.slots->allowClaims();
    noteSlots(node);
}

void fake_fleet::noteSlots(fake_node& node)
{
    for (slot_index slot = 0; slot < slotCount; ++slot) {
        const auto& state = node.slots->table().at(slot);
        if (state.holder == node.knownHolders[slot])
            continue;
        node.knownHolders[slot] = state.holder;
        if (state.holder != node.self())
            continue;
        bool isFirst = state.term == 1 || m_options.ignoresFence;
        auto since = node.slots->heldSince(slot);
        auto sinceWall = wall(node) + std::chrono::ceil<milliseconds>(since - local(node));
        node.rates->startSlot(slot, state.term == 1 ? instant::min() : since);
        node.actions->startSlot(slot, isFirst ? wall_time::min() : sinceWall);
    }
}

void fake_fleet::tick(std::size_t index)
{
    auto& node = *m_nodes[index];
    if (!isUp(node))
        return;
    readLog(node);
    updateMembers(index);
    auto records = node.slots->tick(local(node));
    if (!node.isCutFromLog)
        append(records);
    node.leases->startDemandWindow();
}

std::optional<std::size_t> fake_fleet::holderSeenBy(const fake_node& node, slot_index slot) const
{
    const auto& holder = node.slots->table().at(slot).holder;
    for (std::size_t i = 0; holder && i < m_nodes.size(); ++i) {
        if (node_id(m_nodes[i]->name) == holder->node)
            return i;
    }
    return std::nullopt;
}

void fake_fleet::ask(std::size_t entry, bool canFail)
{
    auto& node = *m_nodes[entry];
    auto leases = node.leases->leasesFor(m_organisation.id);
    auto asked = local(node);
    auto request = makeRefillRequest(*leases, node.self(), asked);
    if (!request)
        return;
    pending_grant pending { entry, node.life, *request, {}, asked, m_now };
    auto slot = slotOf(hashOf(request->partition));
    auto holder = holderSeenBy(node, slot);
    bool isLost = !holder || (canFail && pick(8) == 0);
    if (!isLost && isUp(*m_nodes[*holder])) {
        auto& authority = *m_nodes[*holder];
        if (mayUse(authority, slot))
            pending.grant
                = authority.rates->grant(*request, partitionLimitOf(m_organisation), local(authority));
    }
    // The answer may be late, and late answers may be lost.
    if (canFail && pick(6) == 0)
        pending.arrives = m_now + milliseconds(pick(2000));
    m_pending.push_back(pending);
    deliver();
}

void fake_fleet::deliver()
{
    for (auto& pending : m_pending) {
        auto& node = *m_nodes[pending.entry];
        if (pending.arrives > m_now || node.life != pending.entryLife || !node.isRunning)
            continue;
        applyGrant(*node.leases->leasesFor(m_organisation.id), pending.request.partition.index, pending.grant,
            pending.askedLocal);
    }
    std::erase_if(m_pending, [&](const pending_grant& pending) { return pending.arrives <= m_now; });
}

void fake_fleet::noteServed()
{
    // A reference bucket in true time: it must never be overdrawn.
    auto elapsed = std::chrono::duration<double>(m_now - m_levelAt).count();
    m_level = std::min<double>(m_organisation.burst, m_level + elapsed * m_organisation.requestsPerSecond);
    m_levelAt = m_now;
    m_level -= 1;
    constexpr double roundingError = 1e-6;
    if (m_level < -roundingError)
        m_isWithinRate = false;
    ++m_served;
}

bool fake_fleet::request(std::size_t entry, bool canFail)
{
    auto& node = *m_nodes[entry];
    if (!isUp(node))
        return false;
    auto leases = node.leases->leasesFor(m_organisation.id);
    for (std::uint32_t i = 0; i <= ratePartitions; ++i) {
        if (trySpend(*leases, local(node))) {
            noteServed();
            return true;
        }
        ask(entry, canFail);
    }
    return false;
}

std::size_t fake_fleet::offer(std::size_t count, duration time)
{
    std::size_t served = 0;
    for (std::size_t i = 0; i < count; ++i) {
        m_now += time / static_cast<int>(count);
        if (i % 10 == 0) {
            for (std::size_t node = 0; node < m_nodes.size(); ++node)
                tick(node);
        }
        std::size_t entry = pick(m_nodes.size());
        while (!isUp(*m_nodes[entry]))
            entry = pick(m_nodes.size());
        served += request(entry, false) ? 1 : 0;
        checkHolders();
    }
    return served;
}

void fake_fleet::act(bool canFail)
{
    auto& entry = *m_nodes[pick(m_nodes.size())];
    if (!isUp(entry))
        return;
    bool isRepeat = !m_keys.empty() && pick(2) == 0;
    auto key = isRepeat ? m_keys[pick(m_keys.size())] : makeIdempotencyKey(wall(entry), m_keys.size());
    if (!isRepeat)
        m_keys.push_back(key);
    action_key action { m_organisation.id, service_id("service"), key };
    auto slot = slotOf(hashOf(action));
    auto index = holderSeenBy(entry, slot);
    if (!index || !isUp(*m_nodes[*index]))
        return;
    auto& holder = *m_nodes[*index];
    if (!mayUse(holder, slot))
        return;
    auto decided = holder.actions->begin(action, digest {}, wall(holder));
    if (!decided || !std::holds_alternative<run_action>(*decided))
        return;
    // A run that was refused before it began may be tried again with the same key.
    if (canFail && pick(5) == 0)
        return holder.actions->forget(action);
    ++m_runs[key];
    if (canFail && pick(5) == 0)
        holder.actions->markUnknown(action);
    else
        holder.actions->finish(action, { 200, {}, "" });
}

std::size_t fake_fleet::mostRuns() const
{
    std::size_t most = 0;
    for (const auto& [key, runs] : m_runs)
        most = std::max(most, runs);
    return most;
}

void fake_fleet::checkHolders()
{
    for (slot_index slot = 0; slot < slotCount; ++slot) {
        std::size_t holders = 0;
        for (const auto& node : m_nodes)
            holders += node->isRunning && mayUse(*node, slot) ? 1 : 0;
        m_mostHolders = std::max(m_mostHolders, holders);
    }
}

void fake_fleet::fault()
{
    auto index = pick(m_nodes.size());
    auto& node = *m_nodes[index];
    // Crashed nodes come back and the log returns often enough for the fleet to go on serving.
    if (!node.isRunning)
        return restart(index);
    if (m_isLogAway && pick(2) == 0) {
        m_isLogAway = false;
        return;
    }
    switch (pick(8)) {
    case 0:
        return crash(index);
    case 6:
    case 7:
        node.isCutFromLog = !node.isCutFromLog;
        return;
    case 1:
        return restart(index);
    case 2:
        node.pausedUntil = m_now + milliseconds(pick(45'000));
        return;
    case 3:
        m_isLogAway = true;
        return;
    case 4:
        node.thoughtDead.insert(pick(m_nodes.size()));
        return;
    default:
        node.thoughtDead.clear();
        return;
    }
}

void fake_fleet::step()
{
    m_now += milliseconds(pick(20));
    auto choice = pick(1000);
    if (choice < 4)
        m_now += seconds(pick(40));
    if (choice < 10)
        fault();
    if (choice < 250)
        tick(pick(m_nodes.size()));
    else if (choice < 850)
        request(pick(m_nodes.size()), true);
    else
        act(true);
    deliver();
    if (choice % 16 == 0)
        checkHolders();
}

void fake_fleet::settle(duration time)
{
    constexpr milliseconds interval { 100 };
    for (auto end = m_now + time; m_now < end; m_now += interval) {
        for (std::size_t i = 0; i < m_nodes.size(); ++i)
            tick(i);
        deliver();
    }
    checkHolders();
}

} // namespace pomelohub::testing
