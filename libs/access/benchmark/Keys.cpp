// Keys are looked up for every call and updated one by one, also on VMs with a tenth of a CPU core.

#include <benchmark/benchmark.h>

#include "access/KeyTable.h"

namespace {

using namespace monsoonbay;

std::vector<Workspace> workspacesOf(int keys)
{
    std::vector<Workspace> workspaces(16);
    for (int index = 0; index < keys; ++index) {
        Workspace &holder = workspaces[static_cast<std::size_t>(index) % workspaces.size()];
        holder.name = "workspace-" + std::to_string(index % 16);
        holder.keys.push_back("key-of-some-caller-" + std::to_string(index));
    }
    return workspaces;
}

void lookUp(benchmark::State &state)
{
    KeyTable table;
    const std::vector<Workspace> workspaces = workspacesOf(100000);
    updateKeys(table, {}, workspaces);
    std::size_t index = 0;
    for (auto _ : state) {
        const std::string &key = workspaces[index % 16].keys[(index * 7919) % 6250];
        benchmark::DoNotOptimize(workspaceOf(table, digestOfKey(key)));
        ++index;
    }
}

void changeOne(benchmark::State &state)
{
    KeyTable table;
    std::vector<Workspace> before = workspacesOf(100000);
    updateKeys(table, {}, before);
    std::vector<Workspace> after = before;
    after[3].keys.pop_back();
    for (auto _ : state) {
        updateKeys(table, before, after);
        updateKeys(table, after, before);
    }
}

BENCHMARK(lookUp);
BENCHMARK(changeOne);

} // namespace
