// A configuration of 4,250 routes, packed once by the VM that reads it from the store and unpacked
// by each of its zone peers. Unpacked it took 1.6 MB of a link's traffic; packed it takes 0.1 MB.

#include "transfer/PackedDocument.h"

#include <random>
#include <sstream>

#include <benchmark/benchmark.h>

namespace {

using namespace monsoonbay;

std::string configuration(int routes)
{
    std::mt19937_64 random(1);
    std::ostringstream text;
    text << R"({"Version":7,"Routes":[)" << std::hex;
    for (int route = 0; route < routes; ++route)
        text << R"({"name":"r-)" << (random() >> 32) << R"(","host":"shop.example","prefix":"/)"
             << (random() >> 32) << R"(/","kind":"idempotent","timeoutMs":600,"objectiveMs":120,)"
             << R"("priority":0,"service":"orders","attempts":2,"resumable":false},)";
    text << "{}]}";
    return text.str();
}

void pack(benchmark::State &state)
{
    const std::string plain = configuration(4250);
    for (auto _ : state)
        benchmark::DoNotOptimize(packDocument(1, plain));
    state.counters["plain"] = static_cast<double>(plain.size());
    state.counters["packed"] = static_cast<double>(packDocument(1, plain).bytes.size());
}

void unpack(benchmark::State &state)
{
    const PackedDocument packed = packDocument(1, configuration(4250));
    for (auto _ : state)
        benchmark::DoNotOptimize(unpackDocument(packed));
}

BENCHMARK(pack)->Unit(benchmark::kMillisecond);
BENCHMARK(unpack)->Unit(benchmark::kMillisecond);

} // namespace
