/** \file
 * Properties of configuration under races of operators, repeated appends, expiry and snapshots: all readers
 * agree, nothing that was accepted reverts.
 */
#include "configuration_controller.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>

using namespace pomelohub;

namespace {

constexpr int resourceCount = 3;

/** A log whose oldest records expire, and readers of it. */
struct log_and_readers {
    std::vector<configuration_log_entry> log;
    std::size_t firstKept = 0;

    void append(configuration_record record) { log.push_back({ log.size(), std::move(record) }); }

    void read(configuration_controller& reader, std::size_t most) const
    {
        auto from = std::max<std::size_t>(reader.nextOffset(), firstKept);
        auto end = std::min(log.size(), from + most);
        reader.apply(std::span(log).subspan(std::min(from, end), end - std::min(from, end)));
    }
};

resource_name nameOf(int index) { return { resource_kind::organisation, "org-" + std::to_string(index) }; }

configuration_record makeRecord(int index, resource_version replaces, std::uint64_t id, bool isDeletion)
{
    configuration_record record { std::to_string(id), nameOf(index), replaces, std::nullopt, std::nullopt };
    if (!isDeletion)
        record.content = organisation { organisation_id(nameOf(index).name), {},
            static_cast<double>(id % 1000 + 1), 100 };
    return record;
}

std::map<std::string, std::pair<resource_version, bool>> stateOf(const configuration_controller& reader)
{
    std::map<std::string, std::pair<resource_version, bool>> state;
    reader.table().forEach([&](const stored_resource& stored) {
        state[stored.name.name] = { stored.version, stored.content.has_value() };
    });
    return state;
}

resource_version versionIn(const configuration_controller& reader, int index)
{
    auto stored = reader.table().find(nameOf(index));
    return stored ? stored->version : 0;
}

/** A paused node's restatement: what \p reader knows, whenever it last read. */
void restateAll(log_and_readers& world, const configuration_controller& reader)
{
    std::vector<configuration_record> records;
    reader.table().forEach([&](const stored_resource& stored) {
        records.push_back({ stored.recordId, stored.name, 0, stored.version, stored.content });
    });
    for (auto& record : records)
        world.append(std::move(record));
}

} // namespace

TEST_CASE("P4: readers at any pace agree, and no accepted change reverts")
{
    CHECK(rc::check("all readers end with the same versions", [] {
        log_and_readers world;
        std::vector<std::unique_ptr<configuration_controller>> readers;
        for (int i = 0; i < 3; ++i)
            readers.push_back(std::make_unique<configuration_controller>());
        std::vector<configuration_record> sent;
        std::vector<std::array<resource_version, resourceCount>> seen(3);
        auto steps = *rc::gen::inRange(20, 200);
        for (int step = 0; step < steps; ++step) {
            auto reader = static_cast<std::size_t>(*rc::gen::inRange(0, 3));
            auto index = *rc::gen::inRange(0, resourceCount);
            switch (*rc::gen::inRange(0, 6)) {
            case 0:
            case 1: { // An operator who sees what this reader has, possibly long ago.
                auto record = makeRecord(index, versionIn(*readers[reader], index),
                    static_cast<std::uint64_t>(step), *rc::gen::inRange(0, 4) == 0);
                sent.push_back(record);
                world.append(record);
                break;
            }
            case 2: // A repeated append after a lost answer.
                if (!sent.empty())
                    world.append(sent[*rc::gen::inRange<std::size_t>(0, sent.size())]);
                break;
            case 3:
                restateAll(world, *readers[reader]);
                break;
            default:
                world.read(*readers[reader], *rc::gen::inRange<std::size_t>(1, 20));
                break;
            }
            for (int each = 0; each < resourceCount; ++each) {
                auto version = versionIn(*readers[reader], each);
                RC_ASSERT(version >= seen[reader][static_cast<std::size_t>(each)]);
                seen[reader][static_cast<std::size_t>(each)] = version;
            }
        }
        for (auto& reader : readers)
            world.read(*reader, world.log.size());
        RC_ASSERT(stateOf(*readers[0]) == stateOf(*readers[1]));
        RC_ASSERT(stateOf(*readers[0]) == stateOf(*readers[2]));
        // A newcomer gets the same from a peer's snapshot, and from the log once all was restated.
        configuration_controller fromPeer;
        fromPeer.load(readers[0]->snapshot());
        RC_ASSERT(stateOf(fromPeer) == stateOf(*readers[0]));
        world.firstKept = world.log.size();
        restateAll(world, *readers[0]);
        configuration_controller fromLog;
        fromLog.advanceTo(world.firstKept);
        world.read(fromLog, world.log.size());
        RC_ASSERT(stateOf(fromLog) == stateOf(*readers[0]));
    }));
}
