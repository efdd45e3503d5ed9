#include "BoundedSink.h"

#include <string>

#include <poll.h>
#include <unistd.h>

namespace monsoonbay {

BoundedSink::BoundedSink(int descriptor)
    : descriptor(descriptor)
{ }

// poll() reports a pipe as writable when PIPE_BUF bytes fit, and lines are far shorter. The
// descriptor is not made non-blocking, as other processes may share it.
bool BoundedSink::writeLine(std::string_view line)
{
    pollfd waiting{this->descriptor, POLLOUT, 0};
    const int ready = ::poll(&waiting, 1, 0);
    if (ready <= 0 || (waiting.revents & POLLOUT) == 0)
        return false;
    return ::write(this->descriptor, line.data(), line.size()) == static_cast<ssize_t>(line.size());
}

void BoundedSink::sink_it_(const spdlog::details::log_msg &message)
{
    spdlog::memory_buf_t formatted;
    this->formatter_->format(message, formatted);
    if (this->dropped > 0) {
        const std::string note =
            "{\"name\":\"lines-dropped\",\"lines\":\"" + std::to_string(this->dropped) + "\"}\n";
        if (!this->writeLine(note)) {
            ++this->dropped;
            return;
        }
        this->dropped = 0;
    }
    if (!this->writeLine(std::string_view(formatted.data(), formatted.size())))
        ++this->dropped;
}

void BoundedSink::flush_()
{ }

} // namespace monsoonbay
