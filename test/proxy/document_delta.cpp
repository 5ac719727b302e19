/** \file
 * That a document arrives unchanged by a delta, and that a delta is as small as the change.
 */
#include "document_history.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>

using namespace pomelohub;

namespace {

std::string linesOf(std::size_t count)
{
    std::string text;
    for (std::size_t i = 0; i < count; ++i)
        text += "route " + std::to_string(i * 7919) + " leads to the service number " + std::to_string(i % 7)
            + "\n";
    return text;
}

std::optional<std::string> roundTrip(const std::string& base, const std::string& target)
{
    auto delta = makeDocumentDelta(makeDocumentIndex(base), makeDocumentIndex(target), target);
    return applyDocumentDelta(base, delta);
}

} // namespace

TEST_CASE("Whatever was inserted, removed or replaced, the delta gives the new document")
{
    CHECK(rc::check("edits", [](std::vector<std::tuple<std::uint16_t, std::uint8_t, std::string>> edits) {
        auto base = linesOf(300);
        auto target = base;
        for (const auto& [place, removed, inserted] : edits) {
            auto at = place % (target.size() + 1);
            target.replace(at, std::min<std::size_t>(removed, target.size() - at), inserted);
        }
        RC_ASSERT(roundTrip(base, target) == target);
        RC_ASSERT(roundTrip(target, base) == base);
        RC_ASSERT(roundTrip("", target) == target);
    }));
}

TEST_CASE("A delta carries about what has changed, wherever that is")
{
    auto base = linesOf(20'000);
    for (auto place : { std::size_t { 0 }, base.size() / 2, base.size() }) {
        auto target = base;
        target.insert(place, "route new leads to nowhere\n");
        auto delta = makeDocumentDelta(makeDocumentIndex(base), makeDocumentIndex(target), target);
        CHECK(delta.textBytes() < 10'000);
        CHECK(applyDocumentDelta(base, delta) == target);
    }
}

TEST_CASE("A delta that inserts many records in between carries little more than these")
{
    std::map<std::string, std::string> records;
    auto insert = [&](std::uint64_t from, std::uint64_t to) {
        for (auto i = from; i < to; ++i) {
            auto name = std::to_string(i * 0x9e3779b97f4a7c15);
            records[name] = R"({"name":"r-)" + name + R"(","path_prefix":"/)" + name
                + R"(/","route_type":"safe","timeout_s":1,"service":"a","max_attempts":2},)";
        }
    };
    auto text = [&] {
        std::string result = "[";
        for (const auto& [name, record] : records)
            result += record;
        return result + "]";
    };
    insert(0, 2800);
    auto base = text();
    insert(2800, 4200);
    auto target = text();
    auto delta = makeDocumentDelta(makeDocumentIndex(base), makeDocumentIndex(target), target);
    CHECK(delta.textBytes() < (target.size() - base.size()) * 11 / 10);
    CHECK(applyDocumentDelta(base, delta) == target);
}

TEST_CASE("A delta for another document, or with a range beyond its base, is not applied")
{
    auto base = linesOf(300);
    auto target = base + "more";
    auto delta = makeDocumentDelta(makeDocumentIndex(base), makeDocumentIndex(target), target);
    CHECK_FALSE(applyDocumentDelta(target, delta));
    auto beyond = delta;
    beyond.parts.front().length = base.size() + 1;
    CHECK_FALSE(applyDocumentDelta(base, beyond));
    beyond = delta;
    beyond.parts.front().offset = ~std::uint64_t { 0 };
    CHECK_FALSE(applyDocumentDelta(base, beyond));
    auto other = delta;
    other.parts.back().text += "x";
    CHECK_FALSE(applyDocumentDelta(base, other));
}

TEST_CASE("A history makes deltas from its last documents only")
{
    document_history history(3);
    CHECK(history.fingerprint() == 0);
    std::vector<document_fingerprint> fingerprints;
    for (std::size_t i = 0; i < 4; ++i) {
        history.add(linesOf(100 + i));
        fingerprints.push_back(history.fingerprint());
    }
    auto newest = linesOf(103);
    CHECK_FALSE(history.deltaFrom(fingerprints[0], newest));
    for (std::size_t i : { 1U, 2U, 1U }) {
        const auto* delta = history.deltaFrom(fingerprints[i], newest);
        REQUIRE(delta);
        CHECK(applyDocumentDelta(linesOf(100 + i), *delta) == newest);
    }
}
