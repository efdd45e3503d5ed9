#pragma once

#include <cstdint>
#include <mutex>

#include <spdlog/sinks/base_sink.h>

namespace monsoonbay {

/**
 * A log sink that writes lines to a descriptor and never waits for its reader. A line that does not
 * fit into the pipe is dropped; the next one that fits is preceded by a line with the number
 * dropped.
 */
class BoundedSink final : public spdlog::sinks::base_sink<std::mutex>
{
public:
    explicit BoundedSink(int descriptor);

protected:
    void sink_it_(const spdlog::details::log_msg &message) override;
    void flush_() override;

private:
    bool writeLine(std::string_view line);

    int descriptor;
    std::uint64_t dropped = 0;
};

} // namespace monsoonbay
