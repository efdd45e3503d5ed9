#pragma once

#include <cstdint>
#include <mutex>

#include <spdlog/sinks/base_sink.h>

namespace monsoonbay {

/**
 * Writes lines to a descriptor without ever waiting for its reader: a line that does not fit into
 * the pipe is dropped and counted, and the next that fits is preceded by a line with the count.
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
