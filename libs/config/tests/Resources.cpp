#include <criterion/criterion.h>

#include "config/Resources.h"

using namespace monsoonbay;

namespace {

struct ReadResult
{
    VmResources resources;
    std::size_t problems = 0;
};

ReadResult readFrom(const char *json)
{
    JsonReader reader;
    const Json root = reader.parseObject(json);
    ReadResult result;
    readResources(reader, root, result.resources);
    result.problems = reader.problems.size();
    return result;
}

} // namespace

// A document that does not name what its VM has would leave callers no room, or any room.
Test(resources, have_defaults_and_units)
{
    cr_assert(readFrom("{}").resources == VmResources());
    const ReadResult read = readFrom(R"({"resources": {"memoryMb": 120, "descriptors": 3075}})");
    cr_assert_eq(read.problems, 0);
    cr_assert_eq(read.resources.memoryBytes, 120UL * 1024 * 1024);
    cr_assert_eq(read.resources.descriptors, 3075);
}

// A value without sense, or a key that nothing reads, is passed over.
Test(resources, wrong_ones_are_named)
{
    for (const char *json :
         {R"({"resources": 5})", R"({"resources": {"memoryMb": 1}})",
          R"({"resources": {"descriptors": -1}})", R"({"resources": {"memoryMb": "260"}})",
          R"({"resources": {"memory": 260}})"})
        cr_assert_eq(readFrom(json).problems, 1, "%s", json);
}
