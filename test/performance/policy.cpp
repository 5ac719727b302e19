/** \file
 * Measures the users' five figures from the shipped decision code, with time passed in, a fixed seed and
 * small fakes for backend servers, at the sizes of both deployments and against simple baselines.
 */
#include "concurrency_limiter.h"
#include "data_centre_slow_start.h"
#include "ejection_budget.h"
#include "fair_queue.h"
#include "fake_fleet.h"
#include "gray_failure_detector.h"
#include "load_balancer.h"

#include <CLI/CLI.hpp>

#include <cmath>
#include <iostream>
#include <queue>

namespace {

using namespace pomelohub;
using pomelohub::testing::fake_fleet;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds serviceTime { 25 };
constexpr duration tickLength = milliseconds(250);

/** What differs between the two deployments. */
struct deployment {
    std::string name;
    int entries = 0; ///< Nodes that send requests.
    int upstreams = 0; ///< Of the service that is measured.
    double requestsPerSecond = 0; ///< Of that service at each entry node.
};

const std::vector<deployment> deployments { { "restholz", 21, 9, 67 }, { "ironbark", 27, 12, 67 } };

// Gray backend servers: detection and false ejections.

struct gray_setup {
    gray_failure_policy policy;
    pick_hook pick;
    bool ejects = true;
};

/** Entry nodes before one service, one of whose backend servers can be gray. */
class gray_service {
public:
    gray_service(const deployment& size, gray_setup setup, std::uint64_t seed)
        : m_size(size)
        , m_setup(std::move(setup))
        , m_random(seed)
        , m_budget(ejection_policy {})
    {
        load_balancing_policy chooser { [this](std::uint64_t bound) { return m_random() % bound; },
            [](const data_centre_id&) { return 1000U; }, m_setup.pick };
        for (int i = 0; i < size.entries; ++i) {
            m_views.emplace_back();
            for (int n = 0; n < size.upstreams; ++n) {
                backend_entry entry;
                entry.id = backend_server_id("b" + std::to_string(n));
                entry.slots = 5;
                entry.condition = backend_condition::warm;
                entry.stats = new backend_stats;
                m_views.back().backends.push_back(entry);
            }
            m_detectors.emplace_back(m_setup.policy);
        }
        m_chooser = chooser;
    }

    /** One tick with backend 0 slow by \p slowFactor and failing by \p failShare. */
    void tick(double slowFactor, double failShare)
    {
        m_now += tickLength;
        m_toGray = 0;
        m_total = 0;
        for (auto& view : m_views)
            sendRequests(view, slowFactor, failShare);
        for (std::size_t i = 0; i < m_views.size(); ++i)
            judge(i);
    }

    double grayShare() const { return static_cast<double>(m_toGray) / std::max(1, m_total); }
    int ejections() const { return m_ejections; }
    int suspicions() const { return m_suspicions; }

private:
    void sendRequests(service_view& view, double slowFactor, double failShare)
    {
        auto mean = m_size.requestsPerSecond * std::chrono::duration<double>(tickLength).count();
        auto count = std::poisson_distribution<int>(mean)(m_random);
        std::lognormal_distribution<double> noise(0, 0.4);
        for (int i = 0; i < count; ++i) {
            const auto* chosen = chooseBackend(view, {}, data_centre_id(), m_chooser, m_now);
            ++m_total;
            if (!chosen)
                continue;
            bool isGray = chosen->id.text() == "b0";
            m_toGray += isGray ? 1 : 0;
            auto latency = serviceTime * noise(m_random) * (isGray ? slowFactor : 1);
            auto draw = std::uniform_real_distribution<double>(0, 1)(m_random);
            // Healthy servers fail one request in a thousand.
            bool failed = draw < (isGray ? std::max(failShare, 0.001) : 0.001);
            chosen->stats->recordResult(failed, std::chrono::duration_cast<duration>(latency));
        }
    }

    void judge(std::size_t entry)
    {
        auto suspects = m_detectors[entry].tick(m_views[entry]);
        m_suspicions += static_cast<int>(suspects.size());
        if (!m_setup.ejects || suspects.empty())
            return;
        service_capacity capacity { static_cast<std::uint32_t>(m_size.upstreams),
            static_cast<std::uint32_t>(m_size.upstreams) / 2, static_cast<std::uint32_t>(m_size.entries) };
        auto permit = m_budget.request(
            { service_id("s"), node_id("n" + std::to_string(entry)), suspects }, capacity, m_now);
        for (auto& backend : m_views[entry].backends) {
            bool isOut
                = std::find(permit.ejected.begin(), permit.ejected.end(), backend.id) != permit.ejected.end();
            bool wasOut = backend.stats->ejectedUntil.load() > m_now;
            if (isOut)
                backend.stats->ejectedUntil = m_now + permit.lifetime;
            m_ejections += isOut && !wasOut ? 1 : 0;
        }
    }

    deployment m_size;
    gray_setup m_setup;
    std::mt19937_64 m_random;
    ejection_budget m_budget;
    load_balancing_policy m_chooser;
    std::vector<service_view> m_views;
    std::vector<gray_failure_detector> m_detectors;
    instant m_now { std::chrono::hours(1) };
    int m_toGray = 0;
    int m_total = 0;
    int m_ejections = 0;
    int m_suspicions = 0;
};

/** Seconds until less than a tenth of the even share goes to the gray server; 30 when it never happens. */
double detectionTime(const deployment& size, const gray_setup& setup, double slowFactor, double failShare)
{
    gray_service service(size, setup, 11);
    for (int i = 0; i < 40; ++i)
        service.tick(1, 0);
    constexpr int mostTicks = 120;
    for (int i = 1; i <= mostTicks; ++i) {
        service.tick(slowFactor, failShare);
        if (service.grayShare() < 0.1 / size.upstreams)
            return i * 0.25;
    }
    return mostTicks * 0.25;
}

void measureGray(const deployment& size)
{
    gray_setup shipped;
    gray_setup none;
    none.policy.isGrayFailure = [](const backend_window&, const backend_window&) { return false; };
    none.ejects = false;
    gray_setup roundRobin = none;
    auto next = std::make_shared<std::size_t>(0);
    roundRobin.pick = [next](std::span<const backend_entry* const> all) { return (*next)++ % all.size(); };
    gray_setup consecutive;
    consecutive.policy.isGrayFailure
        = [](const backend_window& own, const backend_window&) { return own.failures >= 5; };
    struct named_setup {
        std::string name;
        gray_setup setup;
    };
    for (const auto& [name, setup] :
        std::vector<named_setup> { { "pomelohub", shipped }, { "no ejection", none },
            { "round robin", roundRobin }, { "5 errors in a window", consecutive } }) {
        gray_service healthy(size, setup, 12);
        for (int i = 0; i < 4 * 3600; ++i)
            healthy.tick(1, 0);
        std::cout << size.name << " gray, " << name << ": detection " << detectionTime(size, setup, 10, 0)
                  << " s at 10 times slower, " << detectionTime(size, setup, 1, 0.5) << " s at half failing, "
                  << detectionTime(size, setup, 1, 1) << " s at all failing; false ejections in an hour "
                  << healthy.ejections() << ", false suspicions " << healthy.suspicions() << '\n';
    }
}

// Overload: what the worst-served organisation gets.

struct overload_request : queued_request {
    bool isSmall = false;
};

/** Share of their offered requests that the worst-served of the organisations within their rates gets. */
double worstServedShare(bool isFair, std::uint64_t seed)
{
    constexpr int organisations = 8;
    constexpr int slots = 5;
    std::mt19937_64 random(seed);
    fair_queue queue(200);
    // One backend server of 5 slots at 25 ms bears 200 requests a second; eight send 24 each, one five times.
    std::array<double, organisations> rates;
    rates.fill(24);
    rates[0] = 24 * 5;
    std::array<int, organisations> offered {};
    std::array<int, organisations> served {};
    auto now = instant(std::chrono::hours(1));
    std::priority_queue<instant, std::vector<instant>, std::greater<>> ends;
    for (int step = 0; step < 120'000; ++step) {
        now += milliseconds(1);
        for (int i = 0; i < organisations; ++i) {
            if (std::uniform_real_distribution<double>(0, 1)(random) >= rates[i] / 1000)
                continue;
            handle<overload_request> request(new overload_request);
            request->organisation = organisation_id(isFair ? std::to_string(i) : "");
            request->deadline = now + seconds(1);
            request->isSmall = i != 0;
            ++offered[i];
            // The organisation is kept in the deadline's order of arrival for the count below.
            request->deadline += std::chrono::nanoseconds(i);
            queue.push(request);
        }
        while (!ends.empty() && ends.top() <= now)
            ends.pop();
        while (ends.size() < slots) {
            auto next = queue.pop(now, [](const handle<queued_request>&) {});
            if (!next)
                break;
            ++served[static_cast<std::size_t>(next->deadline.time_since_epoch().count() % 1000)];
            ends.push(now + serviceTime);
        }
    }
    double worst = 1;
    for (int i = 1; i < organisations; ++i)
        worst = std::min(worst, static_cast<double>(served[i]) / offered[i]);
    return worst;
}

void measureOverload()
{
    std::cout
        << "overload at one backend server, worst-served organisation within its rate gets of what it sends:"
        << " pomelohub " << worstServedShare(true, 3) << ", one queue for all " << worstServedShare(false, 3)
        << " (an even share would give 1)\n";
}

// Rates: requests refused although within rate.

struct refusal_figures {
    double ordinary = 0;
    double ownerLost = 0;
    double outage = 0;
};

/** Share refused of requests at \p load of the rate, fleet-wide. */
refusal_figures wrongfulRefusals(const deployment& size, double load, std::uint64_t seed)
{
    pomelohub::testing::fake_fleet_options options;
    options.nodes = static_cast<std::size_t>(size.entries);
    options.requestsPerSecond = 400;
    options.burst = 200;
    options.staleLimit = std::chrono::hours(6);
    fake_fleet fleet(options, seed);
    fleet.settle(seconds(3));
    auto refusedShare = [&] {
        constexpr int length = 30;
        auto count = static_cast<std::size_t>(options.requestsPerSecond * load * length);
        auto served = fleet.offer(count, seconds(length));
        return 1 - static_cast<double>(served) / static_cast<double>(count);
    };
    refusal_figures figures;
    refusedShare();
    figures.ordinary = refusedShare();
    fleet.crash(1);
    figures.ownerLost = refusedShare();
    fleet.setLogAway(true);
    fleet.crash(2);
    figures.outage = refusedShare();
    return figures;
}

/** The same for a rate that is split evenly over the nodes, each with a bucket of its own. */
double evenSplitRefusals(const deployment& size, double load, double requestsPerSecond, double burst)
{
    std::mt19937_64 random(5);
    std::vector<double> levels(static_cast<std::size_t>(size.entries), burst / size.entries);
    int refused = 0;
    int count = 0;
    // A caller keeps its connections to two nodes, as a small organisation does.
    for (double time = 0; time < 60; time += 1 / (requestsPerSecond * load), ++count) {
        for (auto& level : levels)
            level = std::min(burst / size.entries, level + 1 / load / size.entries);
        auto& level = levels[random() % 2];
        refused += level < 1 ? 1 : 0;
        level -= level < 1 ? 0 : 1;
    }
    return static_cast<double>(refused) / count;
}

void measureRefusals(const deployment& size)
{
    for (double load : { 0.6, 0.9 }) {
        auto figures = wrongfulRefusals(size, load, 7);
        std::cout
            << size.name << " refused although within rate, at " << load * 100 << "% of it: pomelohub "
            << 100 * figures.ordinary << "% ordinary, " << 100 * figures.ownerLost << "% with an owner lost, "
            << 100 * figures.outage
            << "% with the log away and a second one lost; even split over nodes, callers at two of them "
            << 100 * evenSplitRefusals(size, load, 400, 200) << "%\n";
    }
}

// A data centre leaves and returns.

/** One backend server with its gate and queue; cold after its return. */
struct simulated_backend {
    std::size_t dataCentre = 0;
    concurrency_limiter gate;
    std::deque<instant> waiting;
    std::priority_queue<std::pair<instant, instant>, std::vector<std::pair<instant, instant>>, std::greater<>>
        running; ///< End and start.
    int coldLeft = 0;
};

/** Share of requests served within a second while one of three data centres leaves and comes back cold. */
double servedThroughReturn(const deployment& size, bool ramps, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    slow_start_policy policy;
    if (!ramps)
        policy.window = milliseconds(1);
    concurrency_limit_policy gates;
    if (!ramps)
        gates.initialLimit = [](std::uint32_t slots) { return slots; };
    data_centre_slow_start ramp(policy);
    std::vector<simulated_backend> backends;
    for (int i = 0; i < size.upstreams; ++i)
        backends.push_back({ static_cast<std::size_t>(i) % 3, concurrency_limiter(5, gates), {}, {}, 0 });
    for (auto& backend : backends) {
        while (backend.gate.limit() < 5 && backend.gate.tryAcquire())
            backend.gate.release({ false, serviceTime });
    }
    // Two data centres bear 92 requests in a hundred of this load.
    double perMilli = size.upstreams * 5 / 25.0 * 0.6;
    auto start = instant(std::chrono::hours(1));
    int offered = 0;
    int good = 0;
    auto nameOf = [](std::size_t index) { return data_centre_id("dc-" + std::to_string(index)); };
    for (int milli = 0; milli < 120'000; ++milli) {
        auto now = start + milliseconds(milli);
        bool isOut = milli >= 20'000 && milli < 50'000;
        if (milli == 50'000) {
            for (auto& backend : backends) {
                if (backend.dataCentre != 0)
                    continue;
                backend.coldLeft = 40;
                backend.gate.setCondition(backend_condition::warm);
                backend.gate.setCondition(backend_condition::cold);
            }
        }
        // Entry nodes hear of the change a second late; the nodes beside the servers refuse at once.
        bool isKnownOut = milli >= 21'000 && milli < 51'000;
        for (std::size_t i = 0; i < 3; ++i)
            ramp.update(nameOf(i), i != 0 || !isKnownOut, now);
        auto arrivals = std::poisson_distribution<int>(perMilli)(random);
        for (int i = 0; i < arrivals; ++i) {
            ++offered;
            std::vector<std::size_t> candidates;
            for (std::size_t n = 0; n < backends.size(); ++n) {
                if (ramp.weightOf(nameOf(backends[n].dataCentre)) > 0)
                    candidates.push_back(n);
            }
            for (int attempt = 0; attempt < 3; ++attempt) {
                auto load = [&](std::size_t n) {
                    auto weight = ramp.weightOf(nameOf(backends[n].dataCentre));
                    auto work
                        = 1.0 + static_cast<double>(backends[n].waiting.size()) + backends[n].gate.inUse();
                    return work / backends[n].gate.limit() * 1000 / weight;
                };
                auto a = candidates[random() % candidates.size()];
                auto b = candidates[random() % candidates.size()];
                auto chosen = load(a) <= load(b) ? a : b;
                if (backends[chosen].dataCentre == 0 && isOut)
                    continue;
                backends[chosen].waiting.push_back(now);
                break;
            }
        }
        for (auto& backend : backends) {
            while (!backend.running.empty() && backend.running.top().first <= now) {
                auto [end, begun] = backend.running.top();
                backend.running.pop();
                backend.coldLeft = std::max(0, backend.coldLeft - 1);
                backend.gate.release({ false, end - begun });
            }
            while (!backend.waiting.empty()) {
                if (now - backend.waiting.front() > seconds(1)) {
                    backend.waiting.pop_front();
                    continue;
                }
                if (!backend.gate.tryAcquire())
                    break;
                // A cold server serves one request at a time well; together they become slow.
                auto together = static_cast<int>(backend.gate.inUse());
                auto time = serviceTime * (backend.coldLeft > 0 ? 1 + 8 * (together - 1) : 1);
                auto since = backend.waiting.front();
                backend.waiting.pop_front();
                backend.running.push({ now + time, now });
                good += now + time - since <= seconds(1) ? 1 : 0;
            }
        }
    }
    return static_cast<double>(good) / offered;
}

void measureDataCentre(const deployment& size)
{
    std::cout << size.name
              << " served within a second while a data centre leaves and returns cold: pomelohub "
              << 100 * servedThroughReturn(size, true, 9) << "%, full load at once on return "
              << 100 * servedThroughReturn(size, false, 9) << "%\n";
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App app { "The users' five measures, from the shipped decisions" };
    CLI11_PARSE(app, argc, argv);
    for (const auto& size : deployments) {
        measureGray(size);
        measureRefusals(size);
        measureDataCentre(size);
    }
    measureOverload();
}
